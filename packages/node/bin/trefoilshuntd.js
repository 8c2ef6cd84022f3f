#!/usr/bin/env node
// A stop that arrives while the modules are still loaded ends the process as a planned stop with nothing to do.
const stopEarly = () => process.exit(0)
process.on('SIGTERM', stopEarly)
process.on('SIGINT', stopEarly)

const { main } = await import('../dist/node/main.js')
await main(process.argv, () => {
  process.off('SIGTERM', stopEarly)
  process.off('SIGINT', stopEarly)
})
