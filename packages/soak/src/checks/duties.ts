/** What one instance does for all is done by one at a time. */

import type {DutyCall} from '@snipestage/platform_stand_ins/provider_stand_in.js';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import type {History} from '../history.js';
import {Check, type Finding} from './check.js';

/** A window of usage never has two figures. */
export class OneFigure extends Check {
  readonly name = 'one_figure';

  find(history: History): readonly Finding[] {
    const figures = new Map<number, string>();
    return history.dutyCalls.flatMap(({report, atMs, holder}) => {
      if (report === undefined) return [];
      const known = figures.get(report.window);
      figures.set(report.window, known ?? report.figure);
      const isOther = known !== undefined && known !== report.figure;
      const what = `window ${report.window} again by ${holder}`;
      return isOther ? [this.found(what, atMs)] : [];
    });
  }
}

/** What left before its sender was stopped may arrive after it has gone on. */
const THAW_MS = 300;

/** Holders neither overlap nor act by turns within a lease. */
export class OneHolder extends Check {
  readonly name = 'one_holder';

  find(history: History): readonly Finding[] {
    const bySubject = new Map<string, DutyCall[]>();
    for (const call of history.dutyCalls) {
      if (!this.counts(history, call)) continue;
      bySubject.set(call.subject, [
        ...(bySubject.get(call.subject) ?? []),
        call,
      ]);
    }
    return [...bySubject.values()].flatMap(calls => [
      ...this.findFallingTokens(calls),
      ...this.findTurns(calls, history.bounds.leaseMs),
    ]);
  }

  private counts(history: History, {holder, atMs}: DutyCall): boolean {
    const {contactMs} = history.bounds;
    const sender = brandAs<InstanceId>(holder);
    const isSenderCalm = history.isCalm([sender], atMs - THAW_MS, atMs);
    const isPlatformCalm = history.isCalm(
      ['store', 'provider'],
      atMs - contactMs,
      atMs,
    );
    return isSenderCalm && isPlatformCalm;
  }

  private findFallingTokens(calls: readonly DutyCall[]): Finding[] {
    let highest = calls[0];
    return calls.flatMap(call => {
      const isLower = call.token < highest.token;
      const isShared =
        call.token === highest.token && call.holder !== highest.holder;
      const before = `${highest.token} of ${highest.holder}`;
      if (call.token > highest.token) highest = call;
      if (!isLower && !isShared) return [];
      const what = `${call.subject}: ${call.token} of ${call.holder} after ${before}`;
      return [this.found(what, call.atMs)];
    });
  }

  /** One, another and the first again. */
  private findTurns(calls: readonly DutyCall[], leaseMs: number): Finding[] {
    const turns = calls.filter(
      ({holder}, index) => holder !== calls[index - 1]?.holder,
    );
    return turns.flatMap((call, index) => {
      const first = turns[index - 2];
      const isTurn =
        first?.holder === call.holder && call.atMs - first.atMs < leaseMs;
      const what = `${call.subject}: ${call.holder} again`;
      return isTurn ? [this.found(what, call.atMs)] : [];
    });
  }
}
