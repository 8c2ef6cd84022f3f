/** The registry of plug-ins. */
import type { DependencyContainer } from 'tsyringe'
import type { IDisposable } from './lifecycle.js'

/** A part of a node that reacts to events, with its lifetime. */
export interface IPlugin extends IDisposable {
  /** Called once, in the order of registration, when the host reports that it has started. */
  start? (): void
}

/** Registers the services of a plug-in and creates its instance. */
export interface PluginContribution {
  /** Unique name. */
  name: string
  /** Binds the plug-in's services to their tokens. */
  register (container: DependencyContainer): void
  /** Creates the plug-in. Called after every plug-in has registered its services; absent when there are only services. */
  create? (container: DependencyContainer): IPlugin
}

const contributions: PluginContribution[] = []

/**
 * Adds a plug-in to every kernel that is created afterwards. Throws when the name is registered already.
 *
 * @example
 * registerPlugin({ name: 'drain', register: container => container.registerSingleton(IDrain, Drain) })
 */
export function registerPlugin (contribution: PluginContribution): void {
  if (contributions.some(known => known.name === contribution.name)) throw new Error(`plug-in ${contribution.name} is already registered`)
  contributions.push(contribution)
}

/** Returns the plug-ins in the order of registration. */
export function registeredPlugins (): readonly PluginContribution[] {
  return contributions
}
