/** A broken invariant, as a checker reports it. */
export interface Violation {
  /** Name of the invariant; reports and tests match it. */
  rule: string
  /** Where and how it was broken, for readers. */
  detail: string
}
