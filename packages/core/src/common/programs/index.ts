/** Public names of the handling of programs. */
export * from './budget.js'
export * from './liveProgram.js'
export * from './programRouting.js'
export * from './programState.js'
export * from './programTable.js'
export * from './stepDecision.js'
export * from './takeover.js'
