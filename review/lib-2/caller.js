/** Sends a caller's request on a connection of its own. */

import {Buffer} from 'node:buffer';
import {request as httpRequest} from 'node:http';

/**
 * Resolves with the status, the headers, the body and whether the answer is
 * complete; with status 0 when the connection ended without an answer. It is sent
 * on the connection that `createConnection` returns, on one of the `agent`, or
 * else on a new one.
 */
export function send({
  host,
  port,
  method = 'POST',
  path,
  id,
  headers = {},
  body = '',
  limitMs,
  agent = false,
  createConnection,
}) {
  return new Promise(resolve => {
    const failed = reason =>
      resolve({status: 0, headers: {}, body: '', isComplete: false, reason});
    const request = httpRequest(
      {
        host,
        port,
        method,
        path,
        ...(createConnection === undefined ? {agent} : {createConnection}),
        headers: {
          'X-Attempt-Id': id,
          'X-Deadline-Ms': String(limitMs),
          'Content-Length': body.length,
          ...headers,
        },
      },
      response => {
        const chunks = [];
        const finish = () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: String(Buffer.concat(chunks)),
            isComplete: response.complete,
          });
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', finish);
        response.on('close', finish);
      },
    );
    request.on('error', error => failed(error.code));
    request.setTimeout(limitMs + 500, () => request.destroy());
    request.end(body);
  });
}
