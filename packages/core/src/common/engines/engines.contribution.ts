/** Plug-in of the model engines: model pools, orders to load models and the release of cache. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { EngineCacheCleanup } from './engineCacheCleanup.js'
import { EngineOrders } from './engineOrders.js'
import { IModelPools, ModelPools } from './modelPools.js'

registerPlugin({
  name: 'engines',
  register (container) {
    container.registerSingleton(EngineCacheCleanup)
    container.registerSingleton(EngineOrders)
    container.registerSingleton(IModelPools, ModelPools)
  },
  create (container): IPlugin {
    const cacheCleanup = container.resolve(EngineCacheCleanup)
    const orders = container.resolve(EngineOrders)
    return {
      start () {
        cacheCleanup.start()
        orders.start()
      },
      dispose () {}
    }
  }
})
