/** Plug-in of the configuration: follows the `control` stream and answers the operators' requests. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { Configuration, IConfiguration } from './configuration.js'
import { OperatorRequests } from './operatorRequests.js'

registerPlugin({
  name: 'configuration',
  register (container) {
    container.registerSingleton(Configuration)
    container.register(IConfiguration, { useToken: Configuration })
  },
  create (container): IPlugin {
    const configuration = container.resolve(Configuration)
    const requests = container.resolve(OperatorRequests)
    return {
      start () {
        configuration.start()
        requests.start()
      },
      dispose: () => configuration.dispose()
    }
  }
})
