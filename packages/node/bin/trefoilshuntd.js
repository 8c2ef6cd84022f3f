#!/usr/bin/env node
// A stop signal that arrives while the modules are still being loaded exits with code 0: nothing has been started yet.
const stopEarly = () => process.exit(0)
process.on('SIGTERM', stopEarly)
process.on('SIGINT', stopEarly)

const { main } = await import('../dist/node/main.js')
await main(process.argv, () => {
  process.off('SIGTERM', stopEarly)
  process.off('SIGINT', stopEarly)
})
