#!/usr/bin/env node
/** Starts the command line from the built output. */
import { main } from '../dist/node/main.js'

await main(process.argv)
