#!/usr/bin/env node
import { main } from '../dist/node/main.js'

await main(process.argv)
