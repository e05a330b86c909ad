export default {
  files: ['packages/*/dist/**/*.test.js'],
  workerThreads: false,
  timeout: '5m',
  concurrency: 4,
};
