/**
 * Hosts up to which every host takes part in everything: it reads the store and
 * holds a part of each limit. In a larger fleet a few hosts do so for the rest,
 * so that what each host does and costs stays the same as the fleet grows.
 * Between the 9 hosts of today's deployments and the 30 from which the share of
 * one host in a limit is smaller than one large request.
 */
export const FEW_HOSTS = 16;
