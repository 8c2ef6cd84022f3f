/** The `trefoilshunt` command line. */
export { main } from './node/main.js'
