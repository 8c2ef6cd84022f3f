/** Public exports of the limits of a process: its memory and its connections, shared among callers. */
export * from './connectionBudget.js'
export * from './memoryBudget.js'
