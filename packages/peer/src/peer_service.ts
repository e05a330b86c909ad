/** The gRPC service between entry instances, from its .proto file. */

import {fileURLToPath} from 'node:url';
import {loadPackageDefinition} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';
import type {ProtoGrpcType} from './generated/peer.js';

/** The package ships the file, one folder above the compiled modules. */
const PROTO_FILE = fileURLToPath(
  new URL('../proto/peer.proto', import.meta.url),
);

const definition = loadSync(PROTO_FILE, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
});

const loaded = loadPackageDefinition(definition) as unknown as ProtoGrpcType;

/**
 * Client constructor; its `service` is the definition that a server registers.
 */
export const PeerService = loaded.snipestage.peer.Peer;
