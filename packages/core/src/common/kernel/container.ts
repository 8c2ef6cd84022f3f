/** Containers with the services of some plug-ins, for hosts that do not run a whole kernel. */
import { container as rootContainer, type DependencyContainer } from 'tsyringe'
import { registeredPlugins } from './plugin.js'
import { IRandom, SeededRandom } from './random.js'

export interface ContainerOptions {
  seed: number
  /** Names of the plug-ins whose services are registered. */
  plugins: readonly string[]
}

/**
 * Creates a container with a seeded `IRandom` and the services of the named plug-ins. Unknown names are ignored.
 *
 * @example
 * const container = createContainer({ seed: 1, plugins: ['routing', 'workers'] })
 * container.resolve<IRouteTable>(IRouteTable)
 */
export function createContainer ({ seed, plugins }: ContainerOptions): DependencyContainer {
  const container = rootContainer.createChildContainer()
  container.registerInstance(IRandom, new SeededRandom(seed))
  for (const contribution of registeredPlugins()) {
    if (plugins.includes(contribution.name)) contribution.register(container)
  }
  return container
}
