import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { EngineMemory } from './engineMemory.js'

registerPlugin({
  name: 'engines',
  register (container) {
    container.registerSingleton(EngineMemory)
  },
  create (container): IPlugin {
    const memory = container.resolve(EngineMemory)
    return {
      start: () => memory.start(),
      dispose () {}
    }
  }
})
