/**
 * Loaded before an entry process: makes its time of day jump by the milliseconds
 * that its parent sends, and ends with its parent.
 */
const readTimeOfDay = Date.now.bind(Date);
let offset = 0;

Date.now = () => readTimeOfDay() + offset;

process.on('message', (message: unknown) => {
  if (typeof message === 'number') {
    offset = message;
  }
});

// A run that is killed leaves no process behind.
process.on('disconnect', () => process.exit(1));

// The channel to the parent must not keep the process from its end.
process.channel?.unref();
