/** Counts frames and their bytes as they are written and read. */

import type {MethodDefinition, ServiceDefinition} from '@grpc/grpc-js';
import {PeerService} from './peer_service.js';

/**
 * Byte counts are of protobuf, without the overhead of gRPC, HTTP/2 and TCP.
 */
export class FrameCounter {
  bytesSent = 0;
  bytesReceived = 0;
  framesSent = 0;
  framesReceived = 0;

  /**
   * The service definition with a codec that counts.
   *
   * @example
   * server.addService(counter.wrapDefinition(), handlers);
   */
  wrapDefinition(): ServiceDefinition {
    const {Exchange: exchange} = PeerService.service;
    const wrapped: MethodDefinition<unknown, unknown> = {
      ...(exchange as unknown as MethodDefinition<unknown, unknown>),
      originalName: 'exchange',
    };
    wrapped.requestSerialize = this.countSent(wrapped.requestSerialize);
    wrapped.responseSerialize = this.countSent(wrapped.responseSerialize);
    wrapped.requestDeserialize = this.countReceived(wrapped.requestDeserialize);
    wrapped.responseDeserialize = this.countReceived(
      wrapped.responseDeserialize,
    );
    return {Exchange: wrapped};
  }

  private countSent(serialize: (value: unknown) => Buffer) {
    return (value: unknown): Buffer => {
      const bytes = serialize(value);
      this.framesSent += 1;
      this.bytesSent += bytes.length;
      return bytes;
    };
  }

  private countReceived(deserialize: (bytes: Buffer) => unknown) {
    return (bytes: Buffer): unknown => {
      this.framesReceived += 1;
      this.bytesReceived += bytes.length;
      return deserialize(bytes);
    };
  }
}
