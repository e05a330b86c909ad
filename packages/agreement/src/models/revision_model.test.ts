import test from 'ava';
import {explore} from './explore.js';
import {
  createRevisionModel,
  type RevisionModelOptions,
} from './revision_model.js';
import {transitionRevisions, type RevisionStep} from '../revisions.js';

const LIMIT = 300_000;

// Operators submit tickets at once, the table's answers are lost, messages between
// peers are late, repeated or out of order. Guards against reporting a change that
// never took effect, and against a withdrawn key that works again.
test('outcomes of tickets stay true and revisions only rise', t => {
  const sizes: RevisionModelOptions[] = [
    {tickets: 2, losses: 2, peer: false},
    {tickets: 3, losses: 0, peer: true},
  ];
  for (const size of sizes) {
    const model = createRevisionModel(size);
    const {states, transitions, violation, trace} = explore(model, LIMIT);
    t.log(JSON.stringify(size), states, 'states', transitions, 'transitions');
    t.is(violation, undefined, JSON.stringify(trace));
  }
});

test('the model catches a reader that applies lower revisions', t => {
  const mutant = createRevisionModel({
    mutateStep: (step, event) =>
      event.kind === 'peer_snapshot'
        ? {...step, state: {...step.state, snapshot: event.snapshot}}
        : step,
  });
  const {violation, trace} = explore(mutant, LIMIT);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(violation, 'a reader went back to a lower revision');
});

/** Uses the head read before the scan in place of the one read after it. */
function skipConfirming(step: RevisionStep): RevisionStep {
  const {poll, call} = step.state;
  if (poll.phase !== 'confirming') {
    return step;
  }
  const result = {kind: 'rows', rows: [poll.head]} as const;
  const event = {kind: 'read_answered', call, result, nowMs: 0} as const;
  return transitionRevisions(step.state, event);
}

test('the model catches a scan after which the head is not read again', t => {
  const options = {tickets: 3, peer: false, mutateStep: skipConfirming};
  const {violation, trace} = explore(createRevisionModel(options), LIMIT);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(violation, 'a snapshot equals no revision');
});
