#ifndef CHALKWAY_PLACE_H
#define CHALKWAY_PLACE_H
/*
    chalkway_place.h -- who does what, by rendezvous hashing

    WHAT IT IS
        Rules by which every host finds the same answer without asking:
        which shard an upstream belongs to, which host allocates a shard,
        which hosts of a hall read the platform. A change of one host or
        upstream moves only what that one held.

    HOW TO USE IT
            uint32_t shards = cw_place_shard_count(upstreams, 24);
            uint64_t shard = cw_place_shard(pool_id, upstream_id, upstream_ids, upstreams, shards);
            uint64_t host = cw_place_owner(shard, hosts, host_count);

    WHAT IT DOES NOT DO
        It does not know who is alive; hosts are passed in.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Number of shards of a pool with so many upstreams. */
uint32_t cw_place_shard_count(uint32_t upstreams, uint32_t shard_size);
/* Id of shard number index of a pool. */
uint64_t cw_place_shard_id(uint64_t pool, uint32_t index);
/* Id of the shard that the upstream belongs to. upstreams are the ids of all of the pool, this one among them; they are
   cut into shards that differ by one at most. Another upstream moves at most one over each border. */
uint64_t cw_place_shard(uint64_t pool, uint64_t upstream, const uint64_t* upstreams, uint32_t count, uint32_t shards);
/* Host with the highest score for the key; 0 when there are no hosts. */
uint64_t cw_place_owner(uint64_t key, const uint64_t* hosts, uint32_t count);
/* Rank of host for the key among hosts: 0 is the owner. count when host is not among them. */
uint32_t cw_place_rank(uint64_t key, uint64_t host, const uint64_t* hosts, uint32_t count);

#endif /* CHALKWAY_PLACE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PLACE_IMPL_INCLUDED
#define CHALKWAY_PLACE_IMPL_INCLUDED

uint32_t cw_place_shard_count(uint32_t upstreams, uint32_t shard_size) {
    uint32_t size = shard_size ? shard_size : 1;
    uint32_t shards = (upstreams + size - 1) / size;
    return shards ? shards : 1;
}

uint64_t cw_place_shard_id(uint64_t pool, uint32_t index) {
    return cw_mix(pool, index);
}

uint64_t cw_place_owner(uint64_t key, const uint64_t* hosts, uint32_t count) {
    uint64_t best = 0;
    uint64_t best_score = 0;
    for (uint32_t i = 0; i < count; i++) {
        uint64_t score = cw_mix(key, hosts[i]);
        if (!best || score > best_score) {
            best = hosts[i];
            best_score = score;
        }
    }
    return best;
}

uint32_t cw_place_rank(uint64_t key, uint64_t host, const uint64_t* hosts, uint32_t count) {
    uint64_t own = cw_mix(key, host);
    uint32_t rank = 0;
    bool found = false;
    for (uint32_t i = 0; i < count; i++) {
        found = found || hosts[i] == host;
        rank += (hosts[i] != host && cw_mix(key, hosts[i]) > own) ? 1 : 0;
    }
    return found ? rank : count;
}

uint64_t cw_place_shard(uint64_t pool, uint64_t upstream, const uint64_t* upstreams, uint32_t count, uint32_t shards) {
    uint32_t rank = cw_place_rank(pool, upstream, upstreams, count);
    return cw_place_shard_id(pool, (uint32_t)((uint64_t)rank * shards / (count ? count : 1)));
}

#endif /* CHALKWAY_PLACE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
