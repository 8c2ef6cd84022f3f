/** Bundles the daemon into one file under `target/`, so that it starts fast and needs nothing else. */
import { build } from 'esbuild'

const packages = ['core', 'node', 'protocol']

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/trefoilshuntd.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['development'],
  mainFields: ['module', 'main'],
  minify: false,
  legalComments: 'none',
  external: ['msgpackr-extract'],
  alias: Object.fromEntries(packages.map(name => [`@trefoilshunt/${name}`, `./packages/${name}/src/index.ts`])),
  // CommonJS dependencies ask for `require`, which ES modules lack.
  banner: { js: "import { createRequire as createRequireForBundle } from 'node:module'; const require = createRequireForBundle(import.meta.url);" },
  logLevel: 'warning'
})
