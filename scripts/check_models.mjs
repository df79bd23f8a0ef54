// Checks the protocol models; there is none yet.
console.log('no models');
