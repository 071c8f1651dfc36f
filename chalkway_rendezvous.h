#ifndef CHALKWAY_RENDEZVOUS_H
#define CHALKWAY_RENDEZVOUS_H
/*
    chalkway_rendezvous.h -- assignments by rendezvous hashing

    WHAT IT IS
        Assignments that every host computes alike without communication:
        the shard of an upstream, the host that allocates a shard, the hosts
        of a hall that poll the platform. When a host or upstream joins or
        leaves, only its own assignments change.

    HOW TO USE IT
            uint32_t shards = cw_rendezvous_shard_count(upstreams, 24);
            uint64_t shard = cw_rendezvous_shard(pool_id, upstream_id, upstream_ids, upstreams, shards);
            uint64_t host = cw_rendezvous_owner(shard, hosts, host_count);

    WHAT IT DOES NOT DO
        It does not detect which hosts are live; they are passed in.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Number of shards of a pool with this number of upstreams. */
uint32_t cw_rendezvous_shard_count(uint32_t upstreams, uint32_t shard_size);
/* Id of the pool's shard with this index. */
uint64_t cw_rendezvous_shard_id(uint64_t pool, uint32_t index);
/* Id of the upstream's shard. upstreams: the ids of all upstreams of the pool, this one among them. The sizes of shards
   differ by at most one. An upstream that joins moves at most one other upstream between two neighbouring shards. */
uint64_t cw_rendezvous_shard(uint64_t pool, uint64_t upstream, const uint64_t* upstreams, uint32_t count,
                             uint32_t shards);
/* Owner of the key: the host with the highest score; 0 when there are no hosts. */
uint64_t cw_rendezvous_owner(uint64_t key, const uint64_t* hosts, uint32_t count);
/* Writes up to max hosts with the highest scores for the key, the highest first; returns their number. */
uint32_t cw_rendezvous_owners(uint64_t key, const uint64_t* hosts, uint32_t count, uint64_t* out, uint32_t max);
/* Rank of the host for the key among all hosts: 0 for the owner, count when the host is not among them. */
uint32_t cw_rendezvous_rank(uint64_t key, uint64_t host, const uint64_t* hosts, uint32_t count);

#endif /* CHALKWAY_RENDEZVOUS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_RENDEZVOUS_IMPL_INCLUDED
#define CHALKWAY_RENDEZVOUS_IMPL_INCLUDED

uint32_t cw_rendezvous_shard_count(uint32_t upstreams, uint32_t shard_size) {
    uint32_t size = shard_size ? shard_size : 1;
    uint32_t shards = (upstreams + size - 1) / size;
    return shards ? shards : 1;
}

uint64_t cw_rendezvous_shard_id(uint64_t pool, uint32_t index) {
    return cw_mix(pool, index);
}

uint32_t cw_rendezvous_owners(uint64_t key, const uint64_t* hosts, uint32_t count, uint64_t* out, uint32_t max) {
    uint32_t chosen = 0;
    for (uint32_t i = 0; i < count; i++) {
        uint64_t score = cw_mix(key, hosts[i]);
        uint32_t at = chosen;
        while (at && cw_mix(key, out[at - 1]) < score) {
            at--;
        }
        if (at == max) {
            continue;
        }
        chosen += chosen < max;
        memmove(out + at + 1, out + at, (chosen - at - 1) * sizeof(*out));
        out[at] = hosts[i];
    }
    return chosen;
}

uint64_t cw_rendezvous_owner(uint64_t key, const uint64_t* hosts, uint32_t count) {
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

uint32_t cw_rendezvous_rank(uint64_t key, uint64_t host, const uint64_t* hosts, uint32_t count) {
    uint64_t host_score = cw_mix(key, host);
    uint32_t rank = 0;
    bool found = false;
    for (uint32_t i = 0; i < count; i++) {
        found = found || hosts[i] == host;
        rank += (hosts[i] != host && cw_mix(key, hosts[i]) > host_score) ? 1 : 0;
    }
    return found ? rank : count;
}

uint64_t cw_rendezvous_shard(uint64_t pool, uint64_t upstream, const uint64_t* upstreams, uint32_t count,
                             uint32_t shards) {
    uint32_t rank = cw_rendezvous_rank(pool, upstream, upstreams, count);
    return cw_rendezvous_shard_id(pool, (uint32_t)((uint64_t)rank * shards / (count ? count : 1)));
}

#endif /* CHALKWAY_RENDEZVOUS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
