/**
 * Preloaded into an entry process. Shifts its time of day by the number of
 * milliseconds that the parent process sends, and exits with the parent.
 */
const readTimeOfDay = Date.now.bind(Date);
let offsetMilliseconds = 0;

Date.now = () => readTimeOfDay() + offsetMilliseconds;

process.on('message', (message: unknown) => {
  if (typeof message === 'number') {
    offsetMilliseconds = message;
  }
});

// Entry processes must not outlive a soak run that is killed.
process.on('disconnect', () => process.exit(1));

// The channel to the parent must not keep the process running.
process.channel?.unref();
