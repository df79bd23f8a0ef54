/**
 * Largest number of hosts at which every host reads the store and holds a part
 * of each limit. In a larger fleet, a few hosts do so for the others, so that
 * the work and the cost of each host do not grow with the fleet. The value lies
 * between the 9 hosts of present deployments and the 30 hosts from which the
 * part of one host in a limit is smaller than one large request.
 */
export const SMALL_FLEET_MAXIMUM_HOSTS = 16;
