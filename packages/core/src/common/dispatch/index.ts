/** Public exports of call dispatch: model and service calls, retries, outlier ejection and quarantine. */
export * from './suspectRequests.js'
export * from './modelDispatch.js'
export * from './outliers.js'
export * from './quarantine.js'
export * from './retryBudget.js'
export * from './serviceDispatch.js'
export * from './suspectTurns.js'
