/** What a checker reports. */
export interface Violation {
  rule: string
  detail: string
}
