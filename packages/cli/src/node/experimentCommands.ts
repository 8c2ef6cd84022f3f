/** `trefoilshunt experiment run`, `trefoilshunt experiment search` and `trefoilshunt scenario`, all in virtual time. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { BASELINES, EXPERIMENTS, type ExperimentResult, type ExperimentSpec, runExperiment, runScenario, type Scenario, scenarioSchema, searchSchedules } from '@trefoilshunt/testing'
import { ExitCode } from '../common/exitCodes.js'
import { renderReport } from '../common/report.js'
import { toSummaryRow } from '../common/experimentSummary.js'
import { formatTable } from '../common/table.js'
import { readJsonc } from './files.js'
import { type OutputOptions, printError, printResult } from './output.js'

/** Options of `trefoilshunt experiment run`. */
export interface ExperimentOptions extends OutputOptions {
  /** Name of an experiment, or `all` for every experiment that is not large. */
  name: string
  /** The first seed. */
  seed: number
  /** Number of consecutive seeds to run. */
  seeds: number
  /** Runs the baseline policies too. */
  baseline: boolean
  /** Folder for HTML and JSON reports; none are written without it. */
  report?: string
}

/** Runs one experiment or all that are not large, compares the figures with the bounds and fails when a bound is missed. */
export async function runExperiments (options: ExperimentOptions): Promise<void> {
  const specs = options.name === 'all' ? EXPERIMENTS.filter(spec => spec.isLarge !== true) : EXPERIMENTS.filter(spec => spec.name === options.name)
  if (specs.length === 0) return printError(`no experiment "${options.name}"; there are: ${EXPERIMENTS.map(spec => spec.name).join(', ')}, all`, ExitCode.Usage)
  const summaries = []
  let missedBounds = 0
  for (const spec of specs) {
    const results: ExperimentResult[] = []
    for (let index = 0; index < options.seeds; index++) {
      results.push(await runExperiment({ spec, seed: options.seed + index, baselines: options.baseline ? BASELINES : [] }))
    }
    missedBounds += results.flatMap(result => result.bounds).filter(bound => !bound.isMet).length
    summaries.push(summarize(spec, results))
    if (!options.json) process.stdout.write(`${formatExperiment(spec, results)}\n\n`)
    if (options.report !== undefined) writeReport(options.report, spec, results)
  }
  const exitCode = missedBounds === 0 ? ExitCode.Ok : ExitCode.Failed
  printResult(options, summaries, () => `${specs.length} experiments, ${missedBounds} bounds missed`, exitCode)
}

function summarize (spec: ExperimentSpec, results: ExperimentResult[]): unknown {
  return {
    name: spec.name,
    purpose: spec.purpose,
    runs: results.map(({ figures, bounds }) => ({
      seed: figures.ours.seed,
      bounds,
      oracle: figures.oracle,
      policies: [figures.ours, ...figures.baselines].map(measurement => toSummaryRow(spec, measurement))
    }))
  }
}

function formatExperiment (spec: ExperimentSpec, results: ExperimentResult[]): string {
  const rows = results.flatMap(({ figures, bounds }) => bounds.map(bound => [figures.ours.seed, bound.isMet ? 'pass' : 'MISS', bound.bound, bound.measured, bound.direction === 'atLeast' ? '>=' : '<=', bound.limit]))
  const policies = results.flatMap(({ figures }) => [{ ...figures.steady, policy: 'quiet run' }, figures.ours, ...figures.baselines].map(measurement => Object.values(toSummaryRow(spec, measurement))))
  const { oracle } = results[0].figures
  return [
    `## ${spec.name}: ${spec.purpose}`,
    formatTable(['seed', 'verdict', 'bound', 'measured', '', 'limit'], rows),
    '',
    formatTable(Object.keys(toSummaryRow(spec, results[0].figures.ours)), policies),
    `oracle: ${oracle.goodputInOrder} programs within target in the order of arrival, ${oracle.goodputShortestFirst} when it may prefer short ones`
  ].join('\n')
}

function writeReport (folder: string, spec: ExperimentSpec, results: ExperimentResult[]): void {
  mkdirSync(folder, { recursive: true })
  writeFileSync(join(folder, `${spec.name}.html`), renderReport(spec, results))
  writeFileSync(join(folder, `${spec.name}.json`), `${JSON.stringify(summarize(spec, results), null, 2)}\n`)
}

/** Searches for fault schedules that break an invariant; fails when it finds one. */
export async function runSearch (options: OutputOptions & { runs: number, seed: number }): Promise<void> {
  const result = await searchSchedules({ runs: options.runs, seed: options.seed })
  const { totals, counterexample } = result
  const unknownShare = totals.unknownSteps / Math.max(1, totals.nonRepeatableSteps)
  const text = () => [
    `seed ${result.seed}: ${result.runs} schedules, ${totals.faults} faults, ${totals.programs} programs, ${totals.steps} steps checked`,
    `non-repeatable steps ${totals.nonRepeatableSteps}, of them unknown ${totals.unknownSteps} (${(unknownShare * 100).toFixed(2)} %)`,
    counterexample === undefined ? 'no invariant was broken' : `BROKEN by\n${JSON.stringify(counterexample, null, 2)}`
  ].join('\n')
  printResult(options, result, text, counterexample === undefined ? ExitCode.Ok : ExitCode.Failed)
}

/** Runs scenario files in order; fails when an invariant is broken in any of them. */
export async function runScenarios (options: OutputOptions & { files: string[] }): Promise<void> {
  const outcomes = []
  for (const file of options.files) {
    const scenario = readJsonc(file, scenarioSchema)
    if (scenario.isLeft()) return printError((scenario.extract() as string[]).join('\n'), ExitCode.Usage)
    const { counts, violations } = await runScenario(scenario.extract() as Scenario)
    outcomes.push({ file, counts, violations })
  }
  const rows = outcomes.map(({ file, counts, violations }) => [file, violations.length === 0 ? 'holds' : 'BROKEN', counts.programs, counts.finished, counts.steps, counts.unknownSteps, counts.faults])
  const details = outcomes.flatMap(({ file, violations }) => violations.map(violation => `${file}: ${violation.rule}: ${violation.detail}`))
  const text = () => [formatTable(['scenario', 'verdict', 'programs', 'finished', 'steps', 'unknown', 'faults'], rows), ...details].join('\n')
  printResult(options, outcomes, text, details.length === 0 ? ExitCode.Ok : ExitCode.Failed)
}
