export default {
  files: [
    'packages/*/dist/**/*.test.js',
    'platform/dist/**/*.test.js',
    'platform/stand_ins/dist/**/*.test.js',
    // See ava.alone.config.js.
    '!packages/soak/dist/misbehaving_clients.test.js',
    '!packages/soak/dist/costly_input.test.js',
  ],
  workerThreads: false,
  timeout: '60s',
  concurrency: 4,
};
