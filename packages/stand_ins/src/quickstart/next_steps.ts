/** Commands that the quickstart suggests for further manual calls. */

import type {QuickstartEnvironment} from './environment.js';

/**
 * Lists the processes and commands to try while the quickstart runs.
 *
 * @example
 * console.log(describeNextSteps(environment));
 */
export function describeNextSteps(environment: QuickstartEnvironment): string {
  const {accountKeys, deployment, operatorKey, platform} = environment;
  const [entry] = deployment.entries;
  const key = accountKeys['gear-menders-harbour'];
  const lines = deployment.entries.map(
    ({adminUrl, callersUrl, settings}) =>
      `  ${settings.instance}: callers ${callersUrl}, operators ${adminUrl}`,
  );
  return `Running:
${lines.join('\n')}
  platform stand-in: ${platform.url}

Go on by hand:
  curl -N ${entry.callersUrl}/v1/chat/completions \\
    -H 'Authorization: Bearer ${key}' \\
    -H 'Content-Type: application/json' \\
    -d '{"model": "repair", "stream": true, "max_tokens": 20,
         "messages": [{"role": "user", "content": "Is my stove ready?"}]}'

  curl ${entry.callersUrl}/services/booking/stock/tent \\
    -H 'Authorization: Bearer ${key}'

  curl ${entry.callersUrl}/services/booking/bookings \\
    -H 'Authorization: Bearer ${key}' -H 'Idempotency-Key: my-first' \\
    -H 'Content-Type: application/json' -d '{"item": "stove"}'

  export SNIPESTAGE_OPERATOR_KEY=${operatorKey}
  node packages/cli/bin/snipestage.js status --admin-url ${entry.adminUrl}
  node packages/cli/bin/snipestage.js ticket list --admin-url ${entry.adminUrl}`;
}
