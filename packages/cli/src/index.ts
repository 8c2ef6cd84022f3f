/** The `trefoilshunt` command line. */
export type { IDocumentReader } from './common/documentReader.js'
export { type MainOptions, main } from './node/main.js'
