/** Summarizes a run: programs and latencies by rank, non-repeatable calls, and cache hits. */
import hdr from 'hdr-histogram-js'
import type { ModelEngine, ToolDatabase } from '@trefoilshunt/standins'
import type { ProgramObservation, RunRecord } from '@trefoilshunt/testing'
import { formatTable } from './table.js'

/** Longest latency that the histogram can hold. */
const HIGHEST_MS = 3_600_000

/** Programs of one rank; the percentiles are latencies of the finished ones. */
export interface RankSummary {
  rank: string
  programs: number
  finished: number
  /** Finished within the target latency of their kind. */
  withinTarget: number
  refused: number
  p50Ms: number
  p95Ms: number
  p99Ms: number
}

/** Figures of one run. */
export interface RunSummary {
  ranks: RankSummary[]
  nonRepeatableRequested: number
  /** Non-repeatable calls that the service executed at least once. */
  nonRepeatableRun: number
  /** Non-repeatable calls that the service executed more than once. */
  runTwice: number
  /** Non-repeatable calls whose outcome was reported as unknown. */
  unknown: number
  /** Share of the prompt tokens that came from the cache, 0 to 1. */
  cacheHitShare: number
  /** The figures as text. */
  table: string
}

/** Computes the figures and formats them as text. */
export function summarizeRun (record: RunRecord, databases: ToolDatabase[], engines: ModelEngine[]): RunSummary {
  const ranks = ['urgent', 'other'].map(rank => summarizeRank(rank, record.programs.filter(program => program.rank === rank)))
  const nonRepeatable = record.steps.filter(step => !step.isRepeatable)
  const executions = (checkId: string) => databases.reduce((sum, database) => sum + (database.executions.get(checkId) ?? 0), 0)
  const cached = engines.reduce((sum, engine) => sum + engine.counters.cachedTokens, 0)
  const computed = engines.reduce((sum, engine) => sum + engine.counters.prefillTokens, 0)
  const summary = {
    ranks,
    nonRepeatableRequested: nonRepeatable.length,
    nonRepeatableRun: nonRepeatable.filter(step => executions(step.checkId) > 0).length,
    runTwice: nonRepeatable.filter(step => executions(step.checkId) > 1).length,
    unknown: nonRepeatable.filter(step => step.result?.type === 'unknown' || step.error?.type === 'unknown').length,
    cacheHitShare: cached / Math.max(1, cached + computed)
  }
  return { ...summary, table: formatSummary(summary) }
}

function summarizeRank (rank: string, programs: ProgramObservation[]): RankSummary {
  const finished = programs.filter(program => program.isFinished)
  const histogram = hdr.build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 3 })
  for (const program of finished) histogram.recordValue(Math.max(0, Math.round(latencyOf(program))))
  return {
    rank,
    programs: programs.length,
    finished: finished.length,
    withinTarget: finished.filter(program => latencyOf(program) <= program.targetMs).length,
    refused: programs.filter(program => program.refusal !== undefined).length,
    p50Ms: histogram.getValueAtPercentile(50),
    p95Ms: histogram.getValueAtPercentile(95),
    p99Ms: histogram.getValueAtPercentile(99)
  }
}

function latencyOf (program: ProgramObservation): number {
  return (program.endedAtMs ?? Infinity) - program.arrivedAtMs
}

function formatSummary (summary: Omit<RunSummary, 'table'>): string {
  const headings = ['rank', 'programs', 'finished', 'within target', 'refused', 'p50 ms', 'p95 ms', 'p99 ms']
  const rows = summary.ranks.map(rank => [rank.rank, rank.programs, rank.finished, rank.withinTarget, rank.refused, rank.p50Ms, rank.p95Ms, rank.p99Ms])
  return [
    formatTable(headings, rows),
    '',
    `non-repeatable calls: requested ${summary.nonRepeatableRequested}, run ${summary.nonRepeatableRun}, run twice ${summary.runTwice}, unknown ${summary.unknown}`,
    `prompt tokens served from cache: ${(summary.cacheHitShare * 100).toFixed(1)} %`
  ].join('\n')
}
