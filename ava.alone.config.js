/** Tests that measure a process and run apart from all others. */
export default {
  files: [
    'packages/soak/dist/misbehaving_clients.test.js',
    'packages/soak/dist/costly_input.test.js',
  ],
  workerThreads: false,
  timeout: '60s',
  concurrency: 1,
};
