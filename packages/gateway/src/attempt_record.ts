/** What is known of the latest attempt of a request, for its log line. */

import type {AnswerEnding} from '@snipestage/connection/answer_end.js';
import type {ReportedLoad} from '@snipestage/routing/endpoint_monitor.js';
import type {PlacementGroup} from '@snipestage/routing/placement.js';
import type {SoftwareVersion} from '@snipestage/types/ids.js';
import type {ConnectionPath} from './endpoint_connection.js';

/** State at the time when an endpoint was chosen. */
export interface ChoiceRecord {
  /** Estimated requests of all instances at the endpoint. */
  readonly load: number;
  /** Age of the reported load on which the estimate is based. */
  readonly loadAgeMs: number | undefined;
  readonly group: PlacementGroup | undefined;
}

/** How the attempt went; what is undefined didn't come to pass. */
export interface ProgressRecord {
  readonly path: ConnectionPath | undefined;
  readonly forwarder: string | undefined;
  /** What broke the path to the forwarder. */
  readonly pathError: string | undefined;
  readonly softwareVersion: SoftwareVersion | undefined;
  readonly ending: AnswerEnding | undefined;
  readonly connectMs: number | undefined;
  readonly headMs: number | undefined;
  /** Load that the endpoint reported with its answer. */
  readonly answeredLoad: ReportedLoad | undefined;
}

/** Each attempt of a request replaces the record of the one before. */
export class AttemptRecord {
  private choice: ChoiceRecord | undefined;
  private progress: ProgressRecord | undefined;

  noteChoice(choice: ChoiceRecord): void {
    this.choice = choice;
  }

  /** A path that an earlier attempt has found stays known. */
  noteProgress(progress: ProgressRecord): void {
    this.progress = {
      ...progress,
      path: progress.path ?? this.progress?.path,
    };
  }

  /**
   * Fields for the log line of the request.
   *
   * @example
   * logger.info('request', {...line, ...record.describe()});
   */
  describe(): Record<string, unknown> {
    const {choice, progress} = this;
    const ageMs = choice?.loadAgeMs;
    return {
      path: progress?.path,
      forwarder: progress?.forwarder,
      pathError: progress?.pathError,
      ...progress?.ending,
      connectMs: progress?.connectMs,
      headMs: progress?.headMs,
      load: choice && Math.round(choice.load),
      loadAgeMs: ageMs && Math.round(ageMs),
      answeredRunning: progress?.answeredLoad?.running,
      answeredWaiting: progress?.answeredLoad?.waiting,
      answeredWorkTime: progress?.answeredLoad?.workTimeRatio,
      softwareVersion: progress?.softwareVersion,
      side: choice?.group?.side,
      sideEngines: choice?.group?.engines,
      candidateEngines: choice?.group?.candidates,
      usableEngines: choice?.group?.usable,
    };
  }
}
