/** Ownership of resources: everything that is registered is disposed exactly once. */

/** Something that holds a resource until `dispose` is called. */
export interface IDisposable {
  /** Releases the resource. A second call has no effect. */
  dispose (): void
}

/**
 * Turns a function into a disposable that runs it at most once.
 *
 * @example
 * const subscription = toDisposable(() => listeners.delete(listener))
 */
export function toDisposable (release: () => void): IDisposable {
  let isDisposed = false
  return {
    dispose () {
      if (isDisposed) return
      isDisposed = true
      release()
    }
  }
}

/** A set of disposables that are released together. */
export class DisposableStore implements IDisposable {
  private readonly _items = new Set<IDisposable>()
  private _isDisposed = false

  /** Adds an item, or disposes it at once when the store is already disposed. */
  add<T extends IDisposable> (item: T): T {
    if (this._isDisposed) item.dispose()
    else this._items.add(item)
    return item
  }

  dispose (): void {
    this._isDisposed = true
    for (const item of this._items) item.dispose()
    this._items.clear()
  }
}

/** Base class of services that own disposables. */
export abstract class Disposable implements IDisposable {
  private readonly _store = new DisposableStore()

  /** Ties the lifetime of `item` to this object. */
  protected _register<T extends IDisposable> (item: T): T {
    return this._store.add(item)
  }

  dispose (): void {
    this._store.dispose()
  }
}
