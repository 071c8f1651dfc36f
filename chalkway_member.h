#ifndef CHALKWAY_MEMBER_H
#define CHALKWAY_MEMBER_H
/*
    chalkway_member.h -- gossip membership and failure detection, as in SWIM

    WHAT IT IS
        In each period a host probes one other host. When no ack arrives, it
        asks a few others to probe that host, then suspects it and declares it
        dead unless the suspicion is refuted. Membership updates are
        piggybacked on the probes, each a bounded number of times, so the
        traffic of a host does not grow with the fleet. New updates are also
        sent to a few hosts immediately. A host refutes an update about itself
        with a higher incarnation. Leaving is a separate flag, set only by the
        host itself. Probes also carry the sender's configuration revision and
        free capacity.

        Anti-entropy: pings and acks carry a hash of the sender's view, the
        members that are not dead. A host that receives a hash other than
        its own sends a summary of its view (chalkway_summary.h) to a random
        host, which replies with the members that differ.

        A host that was suspended discards its pending probe on resume and
        extends its suspicions by the time of the suspension. A host whose own
        probes fail often uses longer time-outs (local health, as in
        Lifeguard).

    HOW TO USE IT
            cw_members_t* m = cw_members_setup(&(cw_members_desc_t){.self = info, .seed = random});
            cw_members_add_seed(m, "10.0.0.2:7400");
            cw_members_tick(m, now_ms);                    // about every 50 ms
            cw_members_receive(m, now_ms, &message);       // for each datagram received
            while (cw_members_next(m, &out)) { send(out.to, &out.message); }

    WHAT IT DOES NOT DO
        No sockets, no encoding (see chalkway_wire.h), no consensus: two
        hosts may see different members for a while.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_map.h"
#include "chalkway_summary.h"

#define CW_MEMBER_ADDRESS_MAX 48
#define CW_MEMBER_HALL_MAX 32
#define CW_GOSSIP_MAX_UPDATES 6 /* updates in one message */

typedef enum cw_member_state_t {
    CW_MEMBER_ALIVE = 0,
    CW_MEMBER_SUSPECT,
    CW_MEMBER_DEAD,
    CW_MEMBER_STATE_COUNT
} cw_member_state_t;

/* Gossiped record of a host. Of two records of a host, the one with the higher incarnation is valid; if the
   incarnations are equal, the one with the worse state is. */
typedef struct cw_member_info_t {
    uint64_t id; /* of the name */
    uint64_t incarnation;
    cw_member_state_t state;
    bool leaving;
    uint32_t link_mbps;         /* bandwidth of its network link, 0: unknown */
    uint32_t unreachable_pools; /* pools from which it is cut off, as a set of cw_member_pool_bit */
    char name[CW_NAME_MAX];
    char hall[CW_MEMBER_HALL_MAX];
    char peer[CW_MEMBER_ADDRESS_MAX]; /* IP:PORT for other hosts, TCP and UDP */
    char http[CW_MEMBER_ADDRESS_MAX]; /* IP:PORT for callers */
} cw_member_info_t;

typedef struct cw_member_t {
    cw_member_info_t info;
    int64_t info_changed_ms;     /* time of the latest change of info */
    int64_t last_received_ms;    /* time of the latest message received from it directly, 0: never */
    int64_t revision;            /* its configuration revision, from its latest message */
    uint32_t free_capacity;      /* its free capacity in percent, from its latest message */
    bool has_refused_connection; /* a connection was refused: its process is down, not unreachable */
    uint32_t transmits_left;     /* transmissions left for its update */
} cw_member_t;

typedef enum cw_gossip_kind_t {
    CW_GOSSIP_PING = 1,
    CW_GOSSIP_ACK,
    CW_GOSSIP_PING_REQ, /* asks the receiver to probe target on the sender's behalf */
    CW_GOSSIP_UPDATE    /* updates only; not acked */
} cw_gossip_kind_t;

typedef struct cw_gossip_t {
    cw_gossip_kind_t kind;
    uint32_t seq;
    bool join;              /* ping: requests the receiver's members */
    uint64_t target;        /* ping-req: host to probe; ack: host that replied */
    int64_t revision;       /* of the sender's configuration */
    uint32_t free_capacity; /* free capacity of the sender in percent */
    uint64_t view_hash;     /* hash of the members that are not dead in the sender's view */
    cw_summary_t summary;   /* ping: summary of the members that are not dead; requests those that differ */
    cw_member_info_t from;
    uint32_t update_count;
    cw_member_info_t updates[CW_GOSSIP_MAX_UPDATES];
} cw_gossip_t;

typedef struct cw_gossip_out_t {
    char to[CW_MEMBER_ADDRESS_MAX];
    cw_gossip_t message;
} cw_gossip_out_t;

typedef struct cw_members_desc_t {
    cw_member_info_t self;         /* id, name, hall, addresses; incarnation: milliseconds since 1970 at start */
    uint64_t seed;                 /* of the random number generator */
    uint32_t max_members;          /* default 1024 */
    uint32_t max_seeds;            /* seed addresses, default 512 */
    uint32_t period_ms;            /* between probes, default 1000 */
    uint32_t timeout_ms;           /* for a direct ack, default 300 */
    uint32_t indirect_probe_count; /* hosts asked for an indirect probe, default 3 */
    uint32_t suspect_ms;           /* minimum time from suspected to dead, default 4000 */
    uint32_t dead_retention_ms;    /* from dead to removal, default 3600000 */
    uint32_t retry_ms;             /* mean interval between probes of dead hosts and seed addresses, default 5000 */
    cw_allocator_t allocator;
} cw_members_desc_t;

typedef enum cw_members_filter_t {
    CW_MEMBERS_ELIGIBLE = 0, /* alive and not leaving: eligible for roles */
    CW_MEMBERS_ALL           /* all that are not dead */
} cw_members_filter_t;

typedef struct cw_members_t cw_members_t;

cw_members_t* cw_members_setup(const cw_members_desc_t* desc);
void cw_members_shutdown(cw_members_t* m);
/* Adds a seed address from the settings or the platform's host list, and pings it unless it belongs to a live member.
   Known addresses are ignored. */
void cw_members_add_seed(cw_members_t* m, const char* address);
/* Forgets all seed addresses, for new ones to be added. Members stay. */
void cw_members_clear_seeds(cw_members_t* m);
/* Number of seed addresses that belong to no known member, whatever its state: nobody has answered there yet. */
uint32_t cw_members_count_silent_seeds(const cw_members_t* m);
/* Runs probes and timers; to be called about every 50 ms. */
void cw_members_tick(cw_members_t* m, int64_t now_ms);
void cw_members_receive(cw_members_t* m, int64_t now_ms, const cw_gossip_t* message);
/* Next message to send; false when there is none. */
bool cw_members_next(cw_members_t* m, cw_gossip_out_t* out);
/* Announces to the other hosts that this one is leaving. */
void cw_members_leave(cw_members_t* m);
/* Probes the host immediately, since its connection broke and it may be dead. */
void cw_members_probe_now(cw_members_t* m, int64_t now_ms, uint64_t id);
/* Suspects the host immediately, since it refused a connection. A live host refutes the suspicion. */
void cw_members_suspect(cw_members_t* m, int64_t now_ms, uint64_t id);
/* Sets the configuration revision and free capacity (percent) that this host's messages carry. */
void cw_members_set_status(cw_members_t* m, int64_t revision, uint32_t free_capacity);
/* Announces the pools from which this host is cut off, as a set of cw_member_pool_bit. */
void cw_members_set_unreachable_pools(cw_members_t* m, uint32_t pools);
/* The pool's bit in a set of pools. Pools may share a bit. */
uint32_t cw_member_pool_bit(const char* pool);
/* Number of known members, dead ones included. Index 0 is this host. */
uint32_t cw_members_count(const cw_members_t* m);
const cw_member_t* cw_members_at(const cw_members_t* m, uint32_t index);
/* Returns NULL when the host is unknown. */
const cw_member_t* cw_members_find(const cw_members_t* m, uint64_t id);
/* Writes the ids of the hosts that match the filter to out, at most max. Returns their number. */
uint32_t cw_members_list_live(const cw_members_t* m, cw_members_filter_t filter, uint64_t* out, uint32_t max);
/* Counter that each change of a member's record increments. */
uint64_t cw_members_change_count(const cw_members_t* m);
const char* cw_member_state_name(cw_member_state_t state);

#endif /* CHALKWAY_MEMBER_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_MEMBER_IMPL_INCLUDED
#define CHALKWAY_MEMBER_IMPL_INCLUDED

#include <assert.h>
#include <string.h>

#define _CW_MEMBERS_SEND_QUEUE 256    /* messages */
#define _CW_MEMBERS_RELAYED_PROBES 32 /* indirect probes in progress for other hosts */
#define _CW_MEMBERS_HEALTH_MAX 8
#define _CW_MEMBERS_FORWARD_INTERVAL_MS 200 /* minimum, between immediate forwards of new updates */
#define _CW_MEMBERS_SYNC_INTERVAL_MS 2000   /* minimum, between a host's anti-entropy requests */
/* Reply budget: messages per interval to hosts that join or request differences. One reply may use a quarter of the
   messages left in the budget. */
#define _CW_MEMBERS_REPLY_DIVISOR 4
#define _CW_MEMBERS_REPLY_BUDGET 64
#define _CW_MEMBERS_REPLY_INTERVAL_MS 100
/* A host that has added a member within the growth window expects to learn of more and syncs more often. */
#define _CW_MEMBERS_GROWTH_WINDOW_MS 1000
#define _CW_MEMBERS_GROWTH_SYNC_INTERVAL_MS 150
#define _CW_MEMBERS_SUSPECT_PING_INTERVAL_MS 500
#define _CW_MEMBERS_TRANSMIT_FACTOR 1 /* an update is sent this many times the binary logarithm of the fleet size */

/* An indirect probe made for another host. */
typedef struct _cw_relayed_probe_t {
    uint32_t seq;        /* of this host's ping, 0: free */
    uint32_t origin_seq; /* of the requester's ping-req */
    char origin[CW_MEMBER_ADDRESS_MAX];
} _cw_relayed_probe_t;

typedef struct _cw_seed_address_t {
    char address[CW_MEMBER_ADDRESS_MAX];
} _cw_seed_address_t;

struct cw_members_t {
    cw_members_desc_t desc;
    cw_member_t* members; /* [0] is this host */
    uint32_t count;
    cw_map_t by_id;
    uint32_t* order; /* probe order: shuffled indexes of members */
    uint32_t order_pos, order_count;
    _cw_seed_address_t* seed_addresses;
    uint32_t seed_count, seed_cursor;
    _cw_relayed_probe_t relayed_probes[_CW_MEMBERS_RELAYED_PROBES];
    uint32_t relayed_probe_next;
    uint64_t rng;
    uint32_t seq;
    uint32_t probe_seq;     /* pending probe, 0: none */
    uint64_t probe_target;  /* target of the pending probe */
    int64_t probe_sent_ms;  /* when the pending probe was sent */
    bool is_probe_indirect; /* other hosts were asked to probe probe_target */
    int64_t next_probe_ms, next_retry_ms, last_tick_ms;
    int64_t next_suspect_ping_ms;
    bool is_view_different;          /* a view hash received differed from this host's own */
    int64_t member_added_ms;         /* time at which a member was last added */
    int64_t next_sync_ms;            /* earliest time of the next anti-entropy request */
    int64_t reply_interval_start_ms; /* start of the current interval of the reply budget */
    uint32_t replies_sent;           /* reply messages sent in that interval */
    int64_t next_forward_ms;         /* earliest time of the next immediate forward */
    bool is_forward_due;
    uint64_t view_hash; /* cached hash of the view, valid while changes equals view_hash_changes */
    uint64_t view_hash_changes;
    uint32_t health_score;  /* local health score: 0 is good, time-outs grow with it */
    uint32_t update_cursor; /* member whose update was considered last for a message */
    int64_t revision;
    uint32_t free_capacity;
    uint64_t changes;
    cw_gossip_out_t* out;
    uint32_t out_head, out_count;
};

static cw_members_desc_t _cw_members_desc_defaults(const cw_members_desc_t* desc) {
    cw_members_desc_t d = *desc;
    d.seed = d.seed ? d.seed : 1;
    d.max_members = d.max_members ? d.max_members : 1024;
    d.max_seeds = d.max_seeds ? d.max_seeds : 512;
    d.period_ms = d.period_ms ? d.period_ms : 1000;
    d.timeout_ms = d.timeout_ms ? d.timeout_ms : 300;
    d.indirect_probe_count = d.indirect_probe_count ? d.indirect_probe_count : 3;
    d.suspect_ms = d.suspect_ms ? d.suspect_ms : 4000;
    d.dead_retention_ms = d.dead_retention_ms ? d.dead_retention_ms : 3600000;
    d.retry_ms = d.retry_ms ? d.retry_ms : 5000;
    return d;
}

const char* cw_member_state_name(cw_member_state_t state) {
    static const char* const names[CW_MEMBER_STATE_COUNT] = {"alive", "suspect", "dead"};
    return ((unsigned)state < CW_MEMBER_STATE_COUNT) ? names[state] : "?";
}

static uint64_t _cw_members_random(cw_members_t* m) {
    m->rng ^= m->rng << 13;
    m->rng ^= m->rng >> 7;
    m->rng ^= m->rng << 17;
    return m->rng;
}

/* Number of times that an update is sent. */
static uint32_t _cw_members_transmit_count(const cw_members_t* m) {
    uint32_t log2 = 1;
    for (uint32_t n = m->count; n > 1; n /= 2) {
        log2++;
    }
    return _CW_MEMBERS_TRANSMIT_FACTOR * log2;
}

cw_members_t* cw_members_setup(const cw_members_desc_t* desc) {
    cw_members_desc_t d = _cw_members_desc_defaults(desc);
    assert(d.self.id);
    cw_members_t* m = cw_alloc(&d.allocator, 1, sizeof(*m));
    m->desc = d;
    m->members = cw_alloc(&d.allocator, d.max_members, sizeof(*m->members));
    m->order = cw_alloc(&d.allocator, d.max_members, sizeof(*m->order));
    m->seed_addresses = cw_alloc(&d.allocator, d.max_seeds, sizeof(*m->seed_addresses));
    m->out = cw_alloc(&d.allocator, _CW_MEMBERS_SEND_QUEUE, sizeof(*m->out));
    m->by_id = cw_map_setup(d.max_members, &d.allocator);
    m->rng = d.seed;
    m->members[0] = (cw_member_t){.info = d.self, .transmits_left = _CW_MEMBERS_TRANSMIT_FACTOR};
    m->members[0].info.state = CW_MEMBER_ALIVE;
    m->count = 1;
    cw_map_put(&m->by_id, d.self.id, 0);
    return m;
}

void cw_members_shutdown(cw_members_t* m) {
    cw_allocator_t a = m->desc.allocator;
    cw_map_shutdown(&m->by_id);
    cw_free(&a, m->members);
    cw_free(&a, m->order);
    cw_free(&a, m->seed_addresses);
    cw_free(&a, m->out);
    cw_free(&a, m);
}

uint32_t cw_members_count(const cw_members_t* m) {
    return m->count;
}

const cw_member_t* cw_members_at(const cw_members_t* m, uint32_t index) {
    assert(index < m->count);
    return &m->members[index];
}

const cw_member_t* cw_members_find(const cw_members_t* m, uint64_t id) {
    uint32_t i = cw_map_get(&m->by_id, id);
    return i == CW_MAP_NONE ? NULL : &m->members[i];
}

uint32_t cw_members_list_live(const cw_members_t* m, cw_members_filter_t filter, uint64_t* out, uint32_t max) {
    uint32_t n = 0;
    for (uint32_t i = 0; i < m->count && n < max; i++) {
        const cw_member_info_t* info = &m->members[i].info;
        bool is_eligible = info->state == CW_MEMBER_ALIVE && !info->leaving;
        if (is_eligible || (filter == CW_MEMBERS_ALL && info->state != CW_MEMBER_DEAD)) {
            out[n++] = info->id;
        }
    }
    return n;
}

uint64_t cw_members_change_count(const cw_members_t* m) {
    return m->changes;
}

void cw_members_set_status(cw_members_t* m, int64_t revision, uint32_t free_capacity) {
    m->is_forward_due =
        m->is_forward_due || revision > m->revision; /* a new revision is sent immediately, like an update */
    m->revision = revision;
    m->free_capacity = free_capacity;
}

/* -- sending -------------------------------------------------------------- */

/* Adds updates that have transmissions left, in rotation over the members. */
static void _cw_members_fill_updates(cw_members_t* m, cw_gossip_t* g) {
    for (uint32_t visited = 0; visited < m->count && g->update_count < CW_GOSSIP_MAX_UPDATES; visited++) {
        m->update_cursor = (m->update_cursor + 1) % m->count;
        cw_member_t* member = &m->members[m->update_cursor];
        if (member->transmits_left && m->update_cursor != 0) {
            member->transmits_left--;
            g->updates[g->update_count++] = member->info;
        }
    }
}

/* Version of a record in view hashes and summaries: differs when two hosts must synchronise. */
static uint64_t _cw_members_record_version(const cw_member_info_t* info) {
    return info->incarnation * 4 + (info->state == CW_MEMBER_SUSPECT ? 2U : 0U) + (info->leaving ? 1U : 0U);
}

/* Hash of the members that are not dead; equal for two hosts with the same view. */
static uint64_t _cw_members_view_hash(cw_members_t* m) {
    if (m->view_hash && m->view_hash_changes == m->changes) {
        return m->view_hash;
    }
    m->view_hash = 1;
    m->view_hash_changes = m->changes;
    for (uint32_t i = 0; i < m->count; i++) {
        const cw_member_info_t* info = &m->members[i].info;
        if (info->state != CW_MEMBER_DEAD) {
            m->view_hash ^= cw_mix(info->id, _cw_members_record_version(info));
        }
    }
    return m->view_hash;
}

/* Summary of the members that are not dead, with the given number of buckets. */
static void _cw_members_summarize(const cw_members_t* m, uint32_t buckets, cw_summary_t* out) {
    *out = (cw_summary_t){.buckets = buckets};
    for (uint32_t i = 0; i < m->count; i++) {
        const cw_member_info_t* info = &m->members[i].info;
        if (info->state != CW_MEMBER_DEAD) {
            cw_summary_add(out, info->id, _cw_members_record_version(info));
        }
    }
}

static cw_gossip_t* _cw_members_send(cw_members_t* m, const char* to, cw_gossip_kind_t kind, uint32_t seq) {
    if (m->out_count == _CW_MEMBERS_SEND_QUEUE) {
        m->out_head = (m->out_head + 1) % _CW_MEMBERS_SEND_QUEUE;
        m->out_count--;
    }
    cw_gossip_out_t* out = &m->out[(m->out_head + m->out_count++) % _CW_MEMBERS_SEND_QUEUE];
    memset(out, 0, sizeof(*out));
    cw_copy(out->to, sizeof(out->to), to);
    out->message.kind = kind;
    out->message.seq = seq;
    out->message.revision = m->revision;
    out->message.free_capacity = m->free_capacity;
    out->message.view_hash = _cw_members_view_hash(m);
    out->message.from = m->members[0].info;
    if (kind != CW_GOSSIP_UPDATE) {
        _cw_members_fill_updates(m, &out->message);
    }
    return &out->message;
}

bool cw_members_next(cw_members_t* m, cw_gossip_out_t* out) {
    if (!m->out_count) {
        return false;
    }
    *out = m->out[m->out_head];
    m->out_head = (m->out_head + 1) % _CW_MEMBERS_SEND_QUEUE;
    m->out_count--;
    return true;
}

/* Number of messages that one reply may use: a fraction of what is left of the interval's budget. */
static uint32_t _cw_members_reply_budget(cw_members_t* m, int64_t now_ms) {
    if (now_ms - m->reply_interval_start_ms >= _CW_MEMBERS_REPLY_INTERVAL_MS) {
        m->reply_interval_start_ms = now_ms;
        m->replies_sent = 0;
    }
    uint32_t remaining = m->replies_sent < _CW_MEMBERS_REPLY_BUDGET ? _CW_MEMBERS_REPLY_BUDGET - m->replies_sent : 0;
    return (remaining + _CW_MEMBERS_REPLY_DIVISOR - 1) / _CW_MEMBERS_REPLY_DIVISOR;
}

/* Sends members that differ from the other host's summary, or all of them when it sent none, within the reply budget.
   The requester asks other hosts for the rest: a seed that sent its full view to each of hundreds of hosts would reach
   only a few. */
static void _cw_members_send_differences(cw_members_t* m, int64_t now_ms, const char* to, const cw_summary_t* theirs) {
    cw_gossip_t* g = NULL;
    cw_summary_t mine;
    uint32_t messages = _cw_members_reply_budget(m, now_ms);
    uint32_t start = (uint32_t)(_cw_members_random(m) % m->count);
    if (theirs->buckets) {
        _cw_members_summarize(m, theirs->buckets, &mine);
    }
    for (uint32_t k = 0; k < m->count; k++) {
        uint32_t i = (start + k) % m->count;
        const cw_member_info_t* info = &m->members[i].info;
        if (!i || info->state == CW_MEMBER_DEAD || (theirs->buckets && !cw_summary_differs(&mine, theirs, info->id))) {
            continue;
        }
        if (!g || g->update_count == CW_GOSSIP_MAX_UPDATES) {
            if (!messages--) {
                return;
            }
            m->replies_sent++;
            g = _cw_members_send(m, to, CW_GOSSIP_UPDATE, 0);
        }
        g->updates[g->update_count++] = *info;
    }
}

/* -- updates -------------------------------------------------------------- */

static bool _cw_members_supersedes(const cw_member_info_t* update, const cw_member_info_t* known) {
    if (update->incarnation != known->incarnation) {
        return update->incarnation > known->incarnation;
    }
    return update->state > known->state || (update->leaving && !known->leaving);
}

/* Handles an update about this host itself: refutes a wrong one, and raises this host's incarnation above a higher
   one, which a previous run of this host announced. */
static void _cw_members_update_self(cw_members_t* m, const cw_member_info_t* update) {
    cw_member_info_t* self = &m->members[0].info;
    bool is_wrong = update->state != CW_MEMBER_ALIVE || update->leaving != self->leaving;
    if (update->incarnation > self->incarnation || (update->incarnation == self->incarnation && is_wrong)) {
        self->incarnation = update->incarnation + 1;
        m->members[0].transmits_left = _cw_members_transmit_count(m);
        m->is_forward_due = true;
        m->changes++;
    }
}

static void _cw_members_apply_update(cw_members_t* m, int64_t now_ms, const cw_member_info_t* update) {
    if (!update->id || !update->peer[0]) {
        return;
    }
    if (update->id == m->members[0].info.id) {
        _cw_members_update_self(m, update);
        return;
    }
    uint32_t i = cw_map_get(&m->by_id, update->id);
    if (i == CW_MAP_NONE) {
        if (m->count == m->desc.max_members || update->state == CW_MEMBER_DEAD) {
            return;
        }
        i = m->count++;
        m->member_added_ms = now_ms;
        m->members[i] = (cw_member_t){.info = *update};
        cw_map_put(&m->by_id, update->id, i);
    } else if (!_cw_members_supersedes(update, &m->members[i].info)) {
        return;
    } else {
        bool was_leaving = m->members[i].info.leaving && m->members[i].info.incarnation == update->incarnation;
        m->members[i].info = *update;
        m->members[i].info.leaving = update->leaving || was_leaving;
        m->members[i].has_refused_connection = m->members[i].has_refused_connection && update->state != CW_MEMBER_ALIVE;
    }
    m->members[i].info_changed_ms = now_ms;
    m->members[i].transmits_left = _cw_members_transmit_count(m);
    m->is_forward_due = true;
    m->changes++;
}

/* Changes a member's state as detected by this host itself. */
static void _cw_members_set_state(cw_members_t* m, int64_t now_ms, uint32_t i, cw_member_state_t state) {
    cw_member_info_t update = m->members[i].info;
    update.state = state;
    _cw_members_apply_update(m, now_ms, &update);
}

static void _cw_members_remove(cw_members_t* m, uint32_t i) {
    cw_map_remove(&m->by_id, m->members[i].info.id);
    m->members[i] = m->members[--m->count];
    if (i < m->count) {
        cw_map_put(&m->by_id, m->members[i].info.id, i);
    }
    m->order_pos = m->order_count = 0;
    m->update_cursor = 0;
}

/* Sends new updates to a few random hosts immediately; each host to which they are new does the same. */
static void _cw_members_forward_updates(cw_members_t* m) {
    m->is_forward_due = false;
    for (uint32_t k = 0; k < m->desc.indirect_probe_count && m->count > 1; k++) {
        uint32_t i = 1 + (uint32_t)(_cw_members_random(m) % (m->count - 1));
        if (m->members[i].info.state != CW_MEMBER_DEAD) {
            _cw_members_fill_updates(m, _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_UPDATE, 0));
        }
    }
}

static void _cw_members_forward_if_due(cw_members_t* m, int64_t now_ms) {
    if (m->is_forward_due && now_ms >= m->next_forward_ms) {
        m->next_forward_ms = now_ms + _CW_MEMBERS_FORWARD_INTERVAL_MS;
        _cw_members_forward_updates(m);
    }
}

void cw_members_leave(cw_members_t* m) {
    m->members[0].info.leaving = true;
    m->members[0].info.incarnation++;
    m->changes++;
    _cw_members_forward_updates(m);
}

uint32_t cw_member_pool_bit(const char* pool) {
    return 1U << (cw_name_id(pool) % 32);
}

void cw_members_set_unreachable_pools(cw_members_t* m, uint32_t pools) {
    if (m->members[0].info.unreachable_pools == pools) {
        return;
    }
    m->members[0].info.unreachable_pools = pools;
    m->members[0].info.incarnation++;
    m->changes++;
    _cw_members_forward_updates(m);
}

/* -- probing -------------------------------------------------------------- */

static uint32_t _cw_members_timeout_ms(const cw_members_t* m) {
    return m->desc.timeout_ms * (m->health_score + 1);
}

void cw_members_suspect(cw_members_t* m, int64_t now_ms, uint64_t id) {
    uint32_t i = cw_map_get(&m->by_id, id);
    if (i != CW_MAP_NONE && i != 0 && m->members[i].info.state == CW_MEMBER_ALIVE) {
        _cw_members_set_state(m, now_ms, i, CW_MEMBER_SUSPECT);
        m->members[i].has_refused_connection = true;
        _cw_members_forward_updates(m);
    }
}

/* Next member to probe, in an order that is reshuffled each round; 0 when there is none. */
static uint32_t _cw_members_next_target(cw_members_t* m) {
    for (uint32_t tries = 0; tries <= m->count; tries++) {
        if (m->order_pos >= m->order_count) {
            m->order_count = m->count - 1;
            m->order_pos = 0;
            for (uint32_t i = 0; i < m->order_count; i++) {
                uint32_t j = (uint32_t)(_cw_members_random(m) % (i + 1));
                m->order[i] = m->order[j];
                m->order[j] = i + 1;
            }
        }
        if (!m->order_count) {
            return 0;
        }
        uint32_t i = m->order[m->order_pos++];
        if (m->members[i].info.state != CW_MEMBER_DEAD) {
            return i;
        }
    }
    return 0;
}

static void _cw_members_probe(cw_members_t* m, int64_t now_ms, uint32_t i) {
    m->probe_seq = ++m->seq;
    m->probe_target = m->members[i].info.id;
    m->probe_sent_ms = now_ms;
    m->is_probe_indirect = false;
    _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_PING, m->probe_seq);
}

static void _cw_members_probe_next(cw_members_t* m, int64_t now_ms) {
    uint32_t i = _cw_members_next_target(m);
    if (i) {
        _cw_members_probe(m, now_ms, i);
    }
}

void cw_members_probe_now(cw_members_t* m, int64_t now_ms, uint64_t id) {
    uint32_t i = cw_map_get(&m->by_id, id);
    if (i != CW_MAP_NONE && i != 0 && !m->probe_seq && m->members[i].info.state == CW_MEMBER_ALIVE) {
        _cw_members_probe(m, now_ms, i);
        m->next_probe_ms = now_ms + m->desc.period_ms;
    }
}

static void _cw_members_request_indirect_probes(cw_members_t* m) {
    m->is_probe_indirect = true;
    for (uint32_t k = 0, tries = 0;
         k < m->desc.indirect_probe_count && tries < 4 * m->desc.indirect_probe_count && m->count > 2; tries++) {
        uint32_t i = 1 + (uint32_t)(_cw_members_random(m) % (m->count - 1));
        if (m->members[i].info.state == CW_MEMBER_ALIVE && m->members[i].info.id != m->probe_target) {
            cw_gossip_t* g = _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_PING_REQ, m->probe_seq);
            g->target = m->probe_target;
            k++;
        }
    }
}

static void _cw_members_probe_failed(cw_members_t* m, int64_t now_ms) {
    uint32_t i = cw_map_get(&m->by_id, m->probe_target);
    m->probe_seq = 0;
    m->health_score += m->health_score < _CW_MEMBERS_HEALTH_MAX ? 1 : 0;
    if (i != CW_MAP_NONE && m->members[i].info.state == CW_MEMBER_ALIVE) {
        _cw_members_set_state(m, now_ms, i, CW_MEMBER_SUSPECT);
    }
}

/* Time from suspected to dead. The suspicion must reach the suspect and its refutation all other hosts, which takes
   longer in a larger fleet. */
static int64_t _cw_members_suspect_ms(const cw_members_t* m) {
    uint32_t log2 = 0;
    for (uint32_t n = m->count; n > 1; n /= 2) {
        log2++;
    }
    return (int64_t)m->desc.suspect_ms * (4 + log2) / 4 * (2 + m->health_score) / 2;
}

/* Pings a host with this host's record of it, so that it can refute the record. */
static cw_gossip_t* _cw_members_ping_with_record(cw_members_t* m, const cw_member_info_t* info) {
    cw_gossip_t* g = _cw_members_send(m, info->peer, CW_GOSSIP_PING, ++m->seq);
    g->updates[0] = *info;
    g->update_count = g->update_count ? g->update_count : 1;
    return g;
}

/* Sends a summary to a random host, which replies with the members that differ. A host that still learns of new hosts
   repeats this after a shorter interval. */
static void _cw_members_request_differences(cw_members_t* m, int64_t now_ms) {
    uint32_t i = m->count > 1 ? 1 + (uint32_t)(_cw_members_random(m) % (m->count - 1)) : 0;
    if (!m->is_view_different || now_ms < m->next_sync_ms || !i || m->members[i].info.state == CW_MEMBER_DEAD) {
        return;
    }
    bool is_growing = now_ms - m->member_added_ms < _CW_MEMBERS_GROWTH_WINDOW_MS;
    m->next_sync_ms = now_ms + (is_growing ? _CW_MEMBERS_GROWTH_SYNC_INTERVAL_MS : _CW_MEMBERS_SYNC_INTERVAL_MS);
    m->is_view_different = false;
    cw_gossip_t* g = _cw_members_send(m, m->members[i].info.peer, CW_GOSSIP_PING, ++m->seq);
    _cw_members_summarize(m, cw_summary_bucket_count(m->count), &g->summary);
}

/* Pings some of the suspects, so that they can refute the suspicion. */
static void _cw_members_ping_suspects(cw_members_t* m, int64_t now_ms) {
    if (now_ms < m->next_suspect_ping_ms) {
        return;
    }
    m->next_suspect_ping_ms = now_ms + _CW_MEMBERS_SUSPECT_PING_INTERVAL_MS;
    uint32_t remaining = m->desc.indirect_probe_count;
    uint32_t start = (uint32_t)(_cw_members_random(m) % m->count);
    for (uint32_t k = 0; k < m->count && remaining; k++) {
        const cw_member_info_t* info = &m->members[(start + k) % m->count].info;
        if (info->state == CW_MEMBER_SUSPECT) {
            _cw_members_ping_with_record(m, info);
            remaining--;
        }
    }
}

static void _cw_members_expire(cw_members_t* m, int64_t now_ms) {
    for (uint32_t i = m->count; i-- > 1;) {
        cw_member_t* member = &m->members[i];
        int64_t age = now_ms - member->info_changed_ms;
        if (member->info.state == CW_MEMBER_SUSPECT && age > _cw_members_suspect_ms(m)) {
            _cw_members_set_state(m, now_ms, i, CW_MEMBER_DEAD);
        } else if (member->info.state == CW_MEMBER_DEAD && age > m->desc.dead_retention_ms) {
            _cw_members_remove(m, i);
        }
    }
}

static bool _cw_members_is_live_address(const cw_members_t* m, const char* address) {
    for (uint32_t i = 0; i < m->count; i++) {
        if (strcmp(m->members[i].info.peer, address) == 0 && m->members[i].info.state != CW_MEMBER_DEAD) {
            return true;
        }
    }
    return false;
}

/* Pings one seed address that belongs to no live member, and one dead member, so that the sides of a healed partition
   find each other. */
static void _cw_members_ping_unreachable(cw_members_t* m) {
    for (uint32_t k = 0; k < m->seed_count; k++) {
        const char* address = m->seed_addresses[m->seed_cursor++ % m->seed_count].address;
        if (!_cw_members_is_live_address(m, address)) {
            _cw_members_send(m, address, CW_GOSSIP_PING, ++m->seq)->join = true;
            break;
        }
    }
    uint32_t start = m->count > 1 ? (uint32_t)(_cw_members_random(m) % m->count) : 0;
    for (uint32_t k = 0; k < m->count; k++) {
        const cw_member_info_t* info = &m->members[(start + k) % m->count].info;
        if (info->state == CW_MEMBER_DEAD) {
            _cw_members_ping_with_record(m, info)->join = true;
            break;
        }
    }
}

void cw_members_add_seed(cw_members_t* m, const char* address) {
    for (uint32_t i = 0; i < m->seed_count; i++) {
        if (strcmp(m->seed_addresses[i].address, address) == 0) {
            return;
        }
    }
    if (m->seed_count == m->desc.max_seeds || strcmp(address, m->members[0].info.peer) == 0) {
        return;
    }
    cw_copy(m->seed_addresses[m->seed_count++].address, CW_MEMBER_ADDRESS_MAX, address);
    if (!_cw_members_is_live_address(m, address)) {
        _cw_members_send(m, address, CW_GOSSIP_PING, ++m->seq)->join = true;
    }
}

void cw_members_clear_seeds(cw_members_t* m) {
    m->seed_count = 0;
}

uint32_t cw_members_count_silent_seeds(const cw_members_t* m) {
    uint32_t silent = 0;
    for (uint32_t k = 0; k < m->seed_count; k++) {
        bool is_known = false;
        for (uint32_t i = 0; i < m->count && !is_known; i++) {
            is_known = strcmp(m->members[i].info.peer, m->seed_addresses[k].address) == 0;
        }
        silent += !is_known;
    }
    return silent;
}

/* Resumes after a suspension: drops the pending probe and extends the suspicions, since acks and refutations may have
   been missed. */
static void _cw_members_resume(cw_members_t* m, int64_t now_ms, int64_t gap_ms) {
    m->probe_seq = 0;
    m->next_probe_ms = now_ms;
    for (uint32_t i = 1; i < m->count; i++) {
        if (m->members[i].info.state == CW_MEMBER_SUSPECT) {
            m->members[i].info_changed_ms += gap_ms;
        }
    }
}

void cw_members_tick(cw_members_t* m, int64_t now_ms) {
    int64_t gap_ms = m->last_tick_ms ? now_ms - m->last_tick_ms : 0;
    if (gap_ms > m->desc.period_ms) {
        _cw_members_resume(m, now_ms, gap_ms);
    }
    m->last_tick_ms = now_ms;
    if (m->probe_seq && !m->is_probe_indirect && now_ms - m->probe_sent_ms >= _cw_members_timeout_ms(m)) {
        _cw_members_request_indirect_probes(m);
    }
    if (now_ms >= m->next_probe_ms) {
        if (m->probe_seq) {
            _cw_members_probe_failed(m, now_ms);
        }
        _cw_members_probe_next(m, now_ms);
        uint32_t period =
            m->desc.period_ms > 2 * _cw_members_timeout_ms(m) ? m->desc.period_ms : 2 * _cw_members_timeout_ms(m);
        m->next_probe_ms = now_ms + period;
    }
    if (now_ms >= m->next_retry_ms) {
        _cw_members_ping_unreachable(m);
        /* Random interval: hosts that started together would otherwise keep pinging their seed at the same moments. */
        m->next_retry_ms = now_ms + m->desc.retry_ms / 2 + (int64_t)(_cw_members_random(m) % m->desc.retry_ms);
    }
    _cw_members_expire(m, now_ms);
    _cw_members_ping_suspects(m, now_ms);
    _cw_members_request_differences(m, now_ms);
    _cw_members_forward_if_due(m, now_ms);
}

/* -- receiving ------------------------------------------------------------ */

static void _cw_members_handle_ack(cw_members_t* m, const cw_gossip_t* g) {
    if (m->probe_seq && g->seq == m->probe_seq) {
        m->probe_seq = 0;
        m->health_score -= m->health_score ? 1 : 0;
        return;
    }
    for (uint32_t i = 0; i < _CW_MEMBERS_RELAYED_PROBES; i++) {
        _cw_relayed_probe_t* probe = &m->relayed_probes[i];
        if (probe->seq && probe->seq == g->seq) {
            _cw_members_send(m, probe->origin, CW_GOSSIP_ACK, probe->origin_seq)->target = g->from.id;
            probe->seq = 0;
        }
    }
}

static void _cw_members_handle_ping_req(cw_members_t* m, const cw_gossip_t* g) {
    const cw_member_t* target = cw_members_find(m, g->target);
    if (!target) {
        return;
    }
    _cw_relayed_probe_t* probe = &m->relayed_probes[m->relayed_probe_next++ % _CW_MEMBERS_RELAYED_PROBES];
    probe->seq = ++m->seq;
    probe->origin_seq = g->seq;
    cw_copy(probe->origin, sizeof(probe->origin), g->from.peer);
    _cw_members_send(m, target->info.peer, CW_GOSSIP_PING, probe->seq);
}

void cw_members_receive(cw_members_t* m, int64_t now_ms, const cw_gossip_t* g) {
    _cw_members_apply_update(m, now_ms, &g->from);
    for (uint32_t i = 0; i < g->update_count; i++) {
        _cw_members_apply_update(m, now_ms, &g->updates[i]);
    }
    uint32_t i = cw_map_get(&m->by_id, g->from.id);
    if (i != CW_MAP_NONE && i != 0) {
        m->members[i].last_received_ms = now_ms;
        m->members[i].revision = g->revision;
        m->members[i].free_capacity = g->free_capacity;
    }
    bool has_view_hash = g->kind == CW_GOSSIP_PING || g->kind == CW_GOSSIP_ACK;
    m->is_view_different = m->is_view_different || (has_view_hash && g->view_hash != _cw_members_view_hash(m));
    if (g->kind == CW_GOSSIP_PING) {
        cw_gossip_t* ack = _cw_members_send(m, g->from.peer, CW_GOSSIP_ACK, g->seq);
        if (i != CW_MAP_NONE && m->members[i].info.state != CW_MEMBER_ALIVE &&
            ack->update_count < CW_GOSSIP_MAX_UPDATES) {
            ack->updates[ack->update_count++] = m->members[i].info; /* the sender is alive and can refute this */
        }
        if (g->join || g->summary.buckets) {
            _cw_members_send_differences(m, now_ms, g->from.peer, &g->summary);
        }
    } else if (g->kind == CW_GOSSIP_ACK) {
        _cw_members_handle_ack(m, g);
    } else if (g->kind == CW_GOSSIP_PING_REQ) {
        _cw_members_handle_ping_req(m, g);
    }
    _cw_members_forward_if_due(m, now_ms);
}

#endif /* CHALKWAY_MEMBER_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
