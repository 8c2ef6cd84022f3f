/** The registry of plug-ins. */
import type { DependencyContainer } from 'tsyringe'
import type { IDisposable } from './lifecycle.js'

/** A capability of the node. */
export interface IPlugin extends IDisposable {
  /** Called once, in the order of registration, when the host reports that it has started. */
  start? (): void
}

/** How a plug-in offers its services and gets its instance. */
export interface PluginContribution {
  name: string
  /** Binds the plug-in's services to their tokens. */
  register (container: DependencyContainer): void
  /** Creates the plug-in; called after every plug-in has registered. */
  create? (container: DependencyContainer): IPlugin
}

const contributions: PluginContribution[] = []

/**
 * Adds a plug-in to every kernel that is created afterwards.
 *
 * @example
 * registerPlugin({ name: 'drain', register: container => container.registerSingleton(IDrain, Drain) })
 */
export function registerPlugin (contribution: PluginContribution): void {
  if (contributions.some(known => known.name === contribution.name)) throw new Error(`plug-in ${contribution.name} is registered twice`)
  contributions.push(contribution)
}

/** The registered plug-ins in order. */
export function registeredPlugins (): readonly PluginContribution[] {
  return contributions
}
