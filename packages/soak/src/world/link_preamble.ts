/** Code put before the program that cuts its process off from endpoints. */

/** Environment variable with the path of the file of {@link ProcessLinks}. */
export const LINKS_FILE_VARIABLE = 'SOAK_LINKS_FILE';

/**
 * - `pass`: connections to endpoints work.
 * - `hang`: open ones go silent and new ones get no answer.
 * - `reset`: open ones are reset and new ones refused.
 * - `refuse_new`: open ones live on, new ones are refused.
 */
export const LINK_CUTS = ['hang', 'reset', 'refuse_new'] as const;
export type LinkState = 'pass' | (typeof LINK_CUTS)[number];

/** How a process reaches endpoints: all that listen on `host`. */
export interface ProcessLinks {
  readonly state: LinkState;
  readonly host: string;
  /** Ports on that host that belong to other parts of the system. */
  readonly exemptPorts: readonly number[];
}

/**
 * On loopback, packets of one process to some addresses can't be dropped from
 * outside, so its sockets are held back. A function `readLinks` applies the file.
 */
export const LINK_PREAMBLE = `
  const fs = require('fs');
  const {Socket} = require('net');
  const connect = Socket.prototype.connect;
  const sockets = new Set();
  let links = {state: 'pass', exemptPorts: []};
  const fail = (socket, code) =>
    socket.destroy(Object.assign(new Error('soak: ' + code), {code}));
  const hold = ({_handle: handle}) => {
    if (!handle || !handle.readStop) return;
    handle.readStop();
    handle.readStart = () => 0;
  };
  const release = ({_handle: handle}) => {
    if (!handle || !Object.hasOwn(handle, 'readStart')) return;
    delete handle.readStart;
    handle.readStart();
  };
  Socket.prototype.connect = function (...args) {
    const options = Array.isArray(args[0]) ? args[0][0] : args[0];
    const isEndpoint = options.host === links.host &&
      !links.exemptPorts.includes(Number(options.port));
    if (!isEndpoint) return connect.apply(this, args);
    if (links.state === 'hang') return this;
    if (links.state !== 'pass') {
      process.nextTick(fail, this, 'ECONNREFUSED');
      return this;
    }
    sockets.add(this);
    this.once('close', () => sockets.delete(this));
    return connect.apply(this, args);
  };
  const readLinks = () => {
    links = JSON.parse(fs.readFileSync(process.env.${LINKS_FILE_VARIABLE}, 'utf8'));
    for (const socket of [...sockets]) {
      if (links.state === 'hang') hold(socket);
      else release(socket);
      if (links.state !== 'reset') continue;
      if (socket.connecting) fail(socket, 'ECONNREFUSED');
      else socket.resetAndDestroy();
    }
  };
  readLinks();
`;
