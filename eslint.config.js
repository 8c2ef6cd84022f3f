/** ESLint configuration: Standard style, deterministic common code, and the allowed imports between packages. */
import neostandard from 'neostandard'

const clockAndRandomMessage = 'common code is deterministic: use IClock, ITimers and IRandom'

/** Forbids imports that match the patterns in files that match the globs. */
function forbidImports (files, patterns) {
  return { files, rules: { 'no-restricted-imports': ['error', { patterns }] } }
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**', 'reports/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      'no-void': 'off',
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off'
    }
  },
  {
    files: ['packages/*/src/common/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', ...['setTimeout', 'setInterval', 'setImmediate', 'Date', 'performance', 'process']
        .map(name => ({ name, message: clockAndRandomMessage }))],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random', message: clockAndRandomMessage }]
    }
  },
  forbidImports(['packages/core/src/**'], ['node:*', '@trefoilshunt/*']),
  forbidImports(['packages/protocol/src/**'], ['@trefoilshunt/node', '@trefoilshunt/c{li,lient}', '@trefoilshunt/standins', '@trefoilshunt/testing']),
  forbidImports(['packages/client/src/**'], ['@trefoilshunt/node', '@trefoilshunt/cli', '@trefoilshunt/standins', '@trefoilshunt/testing']),
  forbidImports(['packages/standins/src/**'], ['@trefoilshunt/node', '@trefoilshunt/cl{i,ient}', '@trefoilshunt/testing']),
  forbidImports(['packages/node/src/**'], ['@trefoilshunt/cl{i,ient}', '@trefoilshunt/standins', '@trefoilshunt/testing']),
  forbidImports(['packages/testing/src/**'], ['@trefoilshunt/cli', '@trefoilshunt/node'])
]
