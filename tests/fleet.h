#ifndef CW_TEST_FLEET_H
#define CW_TEST_FLEET_H
/* Simulated fleet: many membership instances in one process, with simulated time, over a network with packet loss,
   partitions and suspended hosts. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_member.h"
#include "../chalkway_wire.h"
#include "rng.h"

#define FLEET_MAX 1000
#define FLEET_STEP_MS 50

typedef struct fleet_t {
    cw_members_t* hosts[FLEET_MAX]; /* NULL: not running */
    bool is_suspended[FLEET_MAX];
    int partition[FLEET_MAX]; /* hosts of different partitions cannot reach each other */
    uint32_t count;
    uint32_t loss_percent;
    int64_t now_ms;
    rng_t rng;
    cw_wire_t* wire;
    uint64_t messages, bytes;
    uint32_t max_messages_per_step; /* per host, sent and received; further ones are lost, 0: no limit */
    uint32_t handled[FLEET_MAX];    /* messages sent and received in this step, by host */
    cw_members_desc_t times;        /* intervals and time-outs of each host; zero: the defaults */
} fleet_t;

static inline void fleet_name(uint32_t i, char out[16]) {
    snprintf(out, 16, "h%u", i);
}

static inline uint64_t fleet_id(uint32_t i) {
    char name[16];
    fleet_name(i, name);
    return cw_name_id(name);
}

static inline void fleet_start(fleet_t* f, uint32_t i) {
    cw_members_desc_t d = f->times;
    d.seed = 1000 + i + (uint64_t)f->now_ms * 7919;
    d.self.id = fleet_id(i);
    d.self.incarnation = 1000 + (uint64_t)f->now_ms;
    fleet_name(i, d.self.name);
    snprintf(d.self.hall, sizeof(d.self.hall), "hall%u", i % 4);
    snprintf(d.self.peer, sizeof(d.self.peer), "10.0.%u.%u:70", i / 200, i % 200);
    snprintf(d.self.http, sizeof(d.self.http), "10.0.%u.%u:80", i / 200, i % 200);
    f->hosts[i] = cw_members_setup(&d);
    cw_members_add_seed(f->hosts[i], i ? "10.0.0.0:70" : "10.0.0.1:70");
}

static inline void fleet_setup_with(fleet_t* f, uint32_t count, uint64_t seed, const cw_members_desc_t* times) {
    memset(f, 0, sizeof(*f));
    f->count = count;
    f->times = *times;
    f->rng.state = seed;
    f->now_ms = 1000;
    f->wire = cw_wire_setup(NULL);
    for (uint32_t i = 0; i < count; i++) {
        fleet_start(f, i);
    }
}

static inline void fleet_setup(fleet_t* f, uint32_t count, uint64_t seed) {
    fleet_setup_with(f, count, seed, &(cw_members_desc_t){0});
}

static inline void fleet_shutdown(fleet_t* f) {
    for (uint32_t i = 0; i < f->count; i++) {
        if (f->hosts[i]) {
            cw_members_shutdown(f->hosts[i]);
        }
    }
    cw_wire_shutdown(f->wire);
}

/* Delivers the messages that host i has queued, encoded in the wire format. */
static inline void fleet_deliver(fleet_t* f, uint32_t i) {
    cw_gossip_out_t out;
    static cw_gossip_t in;
    while (cw_members_next(f->hosts[i], &out)) {
        unsigned high = 0;
        unsigned low = 0;
        if (sscanf(out.to, "10.0.%u.%u:", &high, &low) != 2) {
            continue;
        }
        uint32_t to = high * 200 + low;
        cw_bytes_t bytes = cw_wire_encode_datagram(f->wire, "fleet", &out.message);
        f->messages++;
        f->bytes += bytes.size;
        bool is_lost = rng_below(&f->rng, 100) < f->loss_percent;
        if (f->max_messages_per_step && to < f->count) {
            is_lost =
                is_lost || f->handled[i]++ >= f->max_messages_per_step || f->handled[to]++ >= f->max_messages_per_step;
        }
        if (to >= f->count || !f->hosts[to] || f->is_suspended[to] || f->partition[i] != f->partition[to] || is_lost) {
            continue;
        }
        if (cw_wire_decode_datagram(f->wire, "fleet", bytes.data, bytes.size, &in, NULL) != CW_OK) {
            abort();
        }
        cw_members_receive(f->hosts[to], f->now_ms, &in);
    }
}

static inline void fleet_run(fleet_t* f, int64_t ms) {
    for (int64_t until = f->now_ms + ms; f->now_ms < until; f->now_ms += FLEET_STEP_MS) {
        memset(f->handled, 0, sizeof(f->handled));
        for (uint32_t i = 0; i < f->count; i++) {
            if (f->hosts[i] && !f->is_suspended[i]) {
                cw_members_tick(f->hosts[i], f->now_ms + (i * 7) % FLEET_STEP_MS);
            }
        }
        for (int turn = 0; turn < 4; turn++) { /* a step covers an indirect probe: ping-req, ping and both acks */
            for (uint32_t i = 0; i < f->count; i++) {
                if (f->hosts[i] && !f->is_suspended[i]) {
                    fleet_deliver(f, i);
                }
            }
        }
    }
}

/* Number of running hosts in whose view host i is in the state. */
static inline uint32_t fleet_count_in_state(const fleet_t* f, uint32_t i, cw_member_state_t state) {
    uint32_t n = 0;
    for (uint32_t k = 0; k < f->count; k++) {
        const cw_member_t* m = (f->hosts[k] && k != i) ? cw_members_find(f->hosts[k], fleet_id(i)) : NULL;
        n += m && m->info.state == state;
    }
    return n;
}

/* Whether every running host sees every other running host as alive. */
static inline bool fleet_is_converged(const fleet_t* f) {
    for (uint32_t i = 0; i < f->count; i++) {
        for (uint32_t k = 0; f->hosts[i] && k < f->count; k++) {
            const cw_member_t* m = f->hosts[k] ? cw_members_find(f->hosts[i], fleet_id(k)) : NULL;
            if (f->hosts[k] && (!m || m->info.state != CW_MEMBER_ALIVE)) {
                return false;
            }
        }
    }
    return true;
}

#endif
