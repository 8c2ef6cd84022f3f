/** Registers the services that run model and service calls, and subscribes the quarantine to control records. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { IModelDispatch, ModelDispatch } from './modelDispatch.js'
import { IOutliers, Outliers } from './outliers.js'
import { IQuarantine, Quarantine } from './quarantine.js'
import { IRetryBudget, RetryBudget } from './retryBudget.js'
import { IServiceDispatch, ServiceDispatch } from './serviceDispatch.js'

registerPlugin({
  name: 'dispatch',
  register (container) {
    container.registerSingleton(IRetryBudget, RetryBudget)
    container.registerSingleton(IOutliers, Outliers)
    container.registerSingleton(Quarantine)
    container.register(IQuarantine, { useToken: Quarantine })
    container.registerSingleton(IModelDispatch, ModelDispatch)
    container.registerSingleton(IServiceDispatch, ServiceDispatch)
  },
  create (container): IPlugin {
    const quarantine = container.resolve(Quarantine)
    return {
      start: () => quarantine.start(),
      dispose () {}
    }
  }
})
