/**
 * Bundles the daemon into one script under `target/` and writes its V8 code cache and a loader that uses it.
 * Without them, reading and compiling the sources would take most of the start time of a node.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { resolve } from 'node:path'
import { Script } from 'node:vm'
import { build } from 'esbuild'

const OUT = 'target/trefoilshuntd.bundle.js'
const CACHE = 'target/trefoilshuntd.cache'
const LOADER = 'target/trefoilshuntd.cjs'

/** Modules that the daemon does not need, or not whole, and that cost time at each start, with their replacements. */
const LEFT_OUT = {
  // Optional native text decoding of msgpackr.
  'msgpackr-extract': 'module.exports = undefined',
  // The daemon uses the client of undici with HTTP/1.1 only.
  'node:http2': 'module.exports = { constants: {} }',
  // Of the histograms, the daemon uses the one that `hdr.build` creates by default. The whole package also loads zlib, WebAssembly and number formats of Intl, 30 ms.
  'hdr-histogram-js': `const { default: Int32Histogram } = require('hdr-histogram-js/dist/Int32Histogram.js')
    exports.build = ({ lowestDiscernibleValue = 1, highestTrackableValue, numberOfSignificantValueDigits }) =>
      Object.assign(new Int32Histogram(lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits), { autoResize: true })`,
  // The HTTP servers answer with JSON and plain text; the short list of media types holds them.
  mime: "export { default } from 'mime/lite'",
  // Of undici, the daemon uses only the connection pool with its clients.
  undici: `exports.Pool = require('undici/lib/dispatcher/pool.js')
    exports.Client = require('undici/lib/dispatcher/client.js')
    exports.buildConnector = require('undici/lib/core/connect.js')`
}

const leaveOut = {
  name: 'leave-out',
  setup (builder) {
    builder.onResolve({ filter: /^(msgpackr-extract|node:http2|hdr-histogram-js|mime|undici)$/ }, ({ path }) => ({ path, namespace: 'left-out' }))
    // Messages of zod in other languages than English, a sixth of the bundle.
    builder.onLoad({ filter: /\/zod\/v4\/locales\/index\.js$/ }, () => ({ contents: 'export {}' }))
    builder.onLoad({ filter: /.*/, namespace: 'left-out' }, ({ path }) => ({ contents: LEFT_OUT[path], resolveDir: process.cwd() }))
  }
}

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: OUT,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  conditions: ['development'],
  mainFields: ['module', 'main'],
  minify: true,
  // The loader reads the script as Latin-1, which takes V8 less time than UTF-8.
  charset: 'ascii',
  keepNames: true,
  legalComments: 'none',
  define: { 'import.meta.url': 'bundleUrl' },
  banner: { js: "const bundleUrl = require('node:url').pathToFileURL(__filename).href;" },
  plugins: [leaveOut],
  logLevel: 'warning'
})

writeFileSync(LOADER, `'use strict'
const { readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')
const read = name => readFileSync(join(__dirname, name))
const filename = join(__dirname, 'trefoilshuntd.bundle.js')
const source = '(function (exports, require, module, __filename, __dirname) {' + read('trefoilshuntd.bundle.js').toString('latin1') + '\\n})'
const script = new Script(source, { filename, cachedData: read('trefoilshuntd.cache') })
if (script.cachedDataRejected) process.stdout.write('level=info event=codeCacheRejected\\n')
script.runInThisContext().call(module.exports, module.exports, require, module, filename, __dirname)
`)

// Runs the top level of the bundle without settings before writing the cache. V8 then also caches the functions that are compiled at a start.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(OUT, 'latin1')}\n})`
const script = new Script(source, { filename: OUT })
const require = createRequire(import.meta.url)
delete process.env.TREFOILSHUNT_NODE_FILE
process.env.TREFOILSHUNT_WARM_UP = '1'
script.runInThisContext().call({}, {}, require, { exports: {} }, resolve(OUT), resolve('target'))
writeFileSync(CACHE, script.createCachedData())
