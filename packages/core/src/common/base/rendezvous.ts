/** Rendezvous (highest random weight) hashing: nodes with the same candidates compute the same owner without messages. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
const MURMUR_MIX_1 = 0x85ebca6b
const MURMUR_MIX_2 = 0xc2b2ae35
const MAX_CACHED_HASHES = 50_000

const hashCache = new Map<string, number>()

/** A 32-bit hash of `text`: FNV-1a with the finalizer of MurmurHash3. */
export function hash32 (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return mix(hash)
}

/**
 * The candidate with the highest weight for `key`; undefined when there is none.
 *
 * @example
 * resolveOwner('worker-3', ['regina-1', 'regina-2'], name => name)
 */
export function resolveOwner<T> (key: string, candidates: Iterable<T>, nameOf: (candidate: T) => string): T | undefined {
  const keyHash = cachedHash32(key)
  let best: T | undefined
  let bestWeight = -1
  let bestName = ''
  for (const candidate of candidates) {
    const name = nameOf(candidate)
    const weight = weightOf(keyHash, name)
    const isBetter = weight > bestWeight || (weight === bestWeight && name < bestName)
    if (!isBetter) continue
    best = candidate
    bestWeight = weight
    bestName = name
  }
  return best
}

/**
 * Up to `count` names with the highest weights for `key`, in order; without a name, the others keep their order.
 *
 * @example
 * selectOwners('request-7', ['regina-1', 'regina-2', 'brandon-1'], 2)
 */
export function selectOwners (key: string, names: readonly string[], count: number): string[] {
  const keyHash = hash32(key)
  return names
    .map(name => ({ name, weight: weightOf(keyHash, name) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name)
}

function weightOf (keyHash: number, name: string): number {
  return mix(Math.imul(keyHash, FNV_PRIME) ^ cachedHash32(name))
}

function mix (value: number): number {
  let hash = Math.imul(value ^ (value >>> 16), MURMUR_MIX_1)
  hash = Math.imul(hash ^ (hash >>> 13), MURMUR_MIX_2)
  return (hash ^ (hash >>> 16)) >>> 0
}

function cachedHash32 (text: string): number {
  const known = hashCache.get(text)
  if (known !== undefined) return known
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear()
  const hash = hash32(text)
  hashCache.set(text, hash)
  return hash
}
