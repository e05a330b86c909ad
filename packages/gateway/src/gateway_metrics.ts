/** Counters and latency histograms, served as text. */

import type {AnswerEnding} from '@snipestage/connection/answer_end.js';
import type {TakeoverStep} from '@snipestage/routing/takeover.js';
import type {PlacementGroup} from '@snipestage/routing/placement.js';
import type {ConnectionPath} from './endpoint_connection.js';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** From one millisecond to the longest time that callers wait. */
const LATENCY_BUCKETS_MS = [
  1, 3, 10, 30, 60, 100, 200, 300, 400, 600, 1000, 2000, 4000, 8000, 16_000,
];

/** Owns the registry of one process. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'snipestage_requests_total',
    help: 'Requests of callers by route and status; 0 when the caller left.',
    labelNames: ['route', 'status'],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: 'snipestage_attempts_total',
    help: 'Attempts at endpoints by service and outcome.',
    labelNames: ['service', 'outcome'],
    registers: [this.registry],
  });
  private readonly answerEnds = new Counter({
    name: 'snipestage_answer_ends_total',
    help: 'Answers of endpoints by service, framing and how they ended.',
    labelNames: ['service', 'framing', 'end'],
    registers: [this.registry],
  });
  private readonly resumptions = new Counter({
    name: 'snipestage_stream_resumptions_total',
    help: 'Streams that callers take up, by service and how their version is known.',
    labelNames: ['service', 'outcome'],
    registers: [this.registry],
  });
  private readonly latency = new Histogram({
    name: 'snipestage_request_duration_ms',
    help: 'Time from the head of a request to the end of its answer.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  private readonly storeCalls = new Counter({
    name: 'snipestage_store_calls_total',
    help: 'Calls to the platform by call and outcome.',
    labelNames: ['call', 'outcome'],
    registers: [this.registry],
  });
  private readonly failedTasks = new Counter({
    name: 'snipestage_failed_tasks_total',
    help: 'Tasks in the background that failed with an unexpected error.',
    registers: [this.registry],
  });
  private readonly loads = new Counter({
    name: 'snipestage_endpoint_loads_total',
    help: 'Loads of endpoints reported by other instances, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  private readonly paces = new Counter({
    name: 'snipestage_endpoint_paces_total',
    help: 'Paces of endpoints reported by other instances, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  private readonly invalidWorkTimes = new Counter({
    name: 'snipestage_invalid_work_times_total',
    help: 'Answers that state a work time that is ignored, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly slowEndpoints = new Gauge({
    name: 'snipestage_slow_endpoints',
    help: 'Endpoints that this instance treats as slow, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly updateAge = new Histogram({
    name: 'snipestage_relay_update_age_ms',
    help: "Age of a relay's confirmations at their arrival, by table.",
    labelNames: ['table'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  private readonly placements = new Counter({
    name: 'snipestage_placements_total',
    help: 'Attempts at engines by service and side of the split.',
    labelNames: ['service', 'side'],
    registers: [this.registry],
  });
  private readonly paceChanges = new Counter({
    name: 'snipestage_start_pace_changes_total',
    help: 'Changes of the share of starting endpoints by service and kind.',
    labelNames: ['service', 'change'],
    registers: [this.registry],
  });
  private readonly sideEngines = new Gauge({
    name: 'snipestage_side_engines',
    help: 'Engines of a side of the split at the latest attempt.',
    labelNames: ['service', 'side'],
    registers: [this.registry],
  });
  private readonly candidateEngines = new Gauge({
    name: 'snipestage_candidate_engines',
    help: 'Engines that the latest attempt of a side could go to.',
    labelNames: ['service', 'side'],
    registers: [this.registry],
  });
  private readonly takeovers = new Counter({
    name: 'snipestage_takeovers_total',
    help: 'Requests of silent endpoints by service and what became of them.',
    labelNames: ['service', 'step'],
    registers: [this.registry],
  });
  private readonly unaffordableRetries = new Counter({
    name: 'snipestage_unaffordable_retries_total',
    help: 'Retries given up as the retry budget was spent, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly shedRequests = new Counter({
    name: 'snipestage_shed_requests_total',
    help: 'Requests refused before an endpoint was chosen, by service and reason.',
    labelNames: ['service', 'reason'],
    registers: [this.registry],
  });
  private readonly unbegunStreams = new Counter({
    name: 'snipestage_unbegun_streams_total',
    help: 'Streams that ended without an event, by service and urgency rank.',
    labelNames: ['service', 'rank'],
    registers: [this.registry],
  });
  private readonly overdueRequests = new Counter({
    name: 'snipestage_overdue_requests_total',
    help: 'Requests that waited too long for an answer to begin, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly headWait = new Histogram({
    name: 'snipestage_endpoint_head_wait_ms',
    help: 'Time from sending a request to the head of its answer.',
    labelNames: ['service', 'side'],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  private readonly rateLimitedAttempts = new Counter({
    name: 'snipestage_rate_limited_attempts_total',
    help: 'Attempts at rate-limited endpoints by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly leavingAnswers = new Counter({
    name: 'snipestage_leaving_answers_total',
    help: 'Answers in which an endpoint announced its leaving, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly migrations = new Counter({
    name: 'snipestage_stream_moves_total',
    help: 'Moves of streams from engines that leave, by service and outcome.',
    labelNames: ['service', 'outcome'],
    registers: [this.registry],
  });
  private readonly backoffRequests = new Counter({
    name: 'snipestage_backoff_requests_total',
    help: 'Refusals in which an endpoint requested backoff, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly crashes = new Counter({
    name: 'snipestage_endpoint_crashes_total',
    help: 'Crashes of endpoints by where they were observed.',
    labelNames: ['observed'],
    registers: [this.registry],
  });
  private readonly suspectParts = new Counter({
    name: 'snipestage_suspect_parts_total',
    help: 'Requests with parts of prompts that may crash endpoints, by decision.',
    labelNames: ['decision'],
    registers: [this.registry],
  });
  private readonly suspects = new Counter({
    name: 'snipestage_suspect_requests_total',
    help: 'Requests that were in flight at a crash, by how they were treated.',
    labelNames: ['decision'],
    registers: [this.registry],
  });
  private readonly connections = new Counter({
    name: 'snipestage_endpoint_connections_total',
    help: 'Connections to endpoints, direct or forwarded, by outcome.',
    labelNames: ['path', 'outcome'],
    registers: [this.registry],
  });
  private readonly isolated = new Gauge({
    name: 'snipestage_isolated',
    help: 'Whether this instance can connect to no endpoint (1) or not (0).',
    registers: [this.registry],
  });
  private readonly tableAge = new Gauge({
    name: 'snipestage_table_age_ms',
    help: 'Time since when a table of the store is known to have been complete.',
    labelNames: ['table'],
    registers: [this.registry],
  });
  /** Read when the metrics are rendered: the value changes with each event. */
  readHeldBytes: () => number = () => 0;
  private readonly heldBytes = new Gauge({
    name: 'snipestage_held_bytes',
    help: 'Bytes of requests and answers that are held for callers.',
    registers: [this.registry],
  });
  private readonly overloads = new Counter({
    name: 'snipestage_overload_refusals_total',
    help: 'Requests refused and connections closed, by the bound reached',
    labelNames: ['bound'],
    registers: [this.registry],
  });
  private readonly memoryAborts = new Counter({
    name: 'snipestage_memory_aborts_total',
    help: 'Bodies refused and answers aborted for lack of memory, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly version = new Gauge({
    name: 'snipestage_configuration_version',
    help: 'Version of the configuration in force.',
    registers: [this.registry],
  });
  private readonly storeEra = new Gauge({
    name: 'snipestage_store_era',
    help: 'How often the store was set back to a copy, as it says itself.',
    registers: [this.registry],
  });
  private readonly evacuated = new Gauge({
    name: 'snipestage_evacuated_data_centres',
    help: 'Data centres that get no requests by order of an operator.',
    registers: [this.registry],
  });
  private readonly lines = new Gauge({
    name: 'snipestage_log_lines_dropped',
    help: 'Log lines left out since the start.',
    registers: [this.registry],
  });

  countRequest(route: string, status: number, durationMs: number): void {
    this.requests.inc({route, status});
    this.latency.observe({route}, durationMs);
  }

  countAttempt(service: string, outcome: string): void {
    this.attempts.inc({service, outcome});
  }

  countAnswerEnd(service: string, {framing, end}: AnswerEnding): void {
    this.answerEnds.inc({service, framing, end});
  }

  /** @param outcome how the stream's version is known, or why it isn't. */
  countResumption(service: string, outcome: string): void {
    this.resumptions.inc({service, outcome});
  }

  countFailedTask(): void {
    this.failedTasks.inc();
  }

  countStoreCall(call: string, outcome: string): void {
    this.storeCalls.inc({call, outcome});
  }

  /** @param outcome `taken`, or why the loads were dropped. */
  countLoads(outcome: string, count: number): void {
    this.loads.inc({outcome}, count);
  }

  /** @param outcome `taken`, or why the paces were dropped. */
  countPaces(outcome: string, count: number): void {
    this.paces.inc({outcome}, count);
  }

  countInvalidWorkTime(service: string): void {
    this.invalidWorkTimes.inc({service});
  }

  /** Sets the number of slow endpoints of each service. */
  setSlowEndpoints(counts: ReadonlyMap<string, number>): void {
    for (const [service, count] of counts) {
      this.slowEndpoints.set({service}, count);
    }
  }

  observeUpdateAge(table: string, ageMs: number): void {
    this.updateAge.observe({table}, ageMs);
  }

  notePlacement(
    service: string,
    {side, engines, candidates}: PlacementGroup,
  ): void {
    this.placements.inc({service, side});
    this.sideEngines.set({service, side}, engines);
    this.candidateEngines.set({service, side}, candidates);
  }

  /** @param change `begun`, `halved` or `ended`. */
  countPaceChange(service: string, change: string): void {
    this.paceChanges.inc({service, change});
  }

  countShed(service: string, reason: string): void {
    this.shedRequests.inc({service, reason});
  }

  countUnaffordableRetry(service: string): void {
    this.unaffordableRetries.inc({service});
  }

  /** @param step of a request whose endpoint was silent. */
  countTakeoverStep(service: string, step: TakeoverStep): void {
    this.takeovers.inc({service, step});
  }

  countOverdueRequest(service: string): void {
    this.overdueRequests.inc({service});
  }

  /** @param rank urgency of the request; 0 is served first. */
  countUnbegunStream(service: string, rank: number): void {
    this.unbegunStreams.inc({service, rank: String(rank)});
  }

  /** @param side side of the split of engines, or `none`. */
  observeHeadWait(service: string, side: string, waitMs: number): void {
    this.headWait.observe({service, side}, waitMs);
  }

  countRateLimitedAttempt(service: string): void {
    this.rateLimitedAttempts.inc({service});
  }

  countLeavingAnswer(service: string): void {
    this.leavingAnswers.inc({service});
  }

  /** @param outcome how the move ended, or why the stream stayed. */
  countMigration(service: string, outcome: string): void {
    this.migrations.inc({service, outcome});
  }

  countBackoffRequest(service: string): void {
    this.backoffRequests.inc({service});
  }

  /** @param observed `here`, or `elsewhere` by another instance. */
  countCrash(observed: 'here' | 'elsewhere'): void {
    this.crashes.inc({observed});
  }

  countSuspect(decision: string): void {
    this.suspects.inc({decision});
  }

  countSuspectParts(decision: 'refuse' | 'trial'): void {
    this.suspectParts.inc({decision});
  }

  /** @param outcome `open`, or why there was none. */
  countConnection(path: ConnectionPath, outcome: string): void {
    this.connections.inc({path, outcome});
  }

  setIsolated(isIsolated: boolean): void {
    this.isolated.set(isIsolated ? 1 : 0);
  }

  /** Sets the age of each table; unknown ones are left out. */
  setTableAges(ages: ReadonlyMap<string, number>): void {
    for (const [table, ageMs] of ages) {
      if (Number.isFinite(ageMs)) this.tableAge.set({table}, ageMs);
    }
  }

  /** @param reason what was given up, or `refused_body`. */
  countMemoryAbort(reason: string): void {
    this.memoryAborts.inc({reason});
  }

  /** @param bound what of there was too much. */
  countOverload(
    bound: 'requests' | 'requests_ahead' | 'connections' | 'body_time',
  ): void {
    this.overloads.inc({bound});
  }

  setConfigurationVersion(version: number): void {
    this.version.set(version);
  }

  setStoreEra(era: number): void {
    this.storeEra.set(era);
  }

  setEvacuated(dataCentres: number): void {
    this.evacuated.set(dataCentres);
  }

  setDroppedLines(count: number): void {
    this.lines.set(count);
  }

  /** Prometheus text format. */
  render(): Promise<string> {
    this.heldBytes.set(this.readHeldBytes());
    return this.registry.metrics();
  }
}
