#ifndef CW_TEST_RATE_MODEL_H
#define CW_TEST_RATE_MODEL_H
/*
    Simulation of many hosts in front of one server that advertises a rate, on one clock and without a network.
    Requests arrive at each host at random, by seed; one that may not be sent waits for a while and is then dropped.
    Observations of the rate reach the other hosts late or not at all, and hosts detect late which others are live. The
    evaluation knows which rate the server advertised at each time, and which hosts had received it.

    It compares three strategies to share the rate: few owner hosts by rendezvous hashing (chalkway_rate.h), equal
    shares for all hosts that were ever known, and broadcasts of each request sent, which every host sums up.
*/
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_rate.h"
#include "rng.h"

#define RATE_HOSTS_MAX 300
#define RATE_STEP_MS 5
#define RATE_RESPONSE_MS 20    /* from a request to the head of its response */
#define RATE_WAIT_MAX_MS 500   /* longest wait of a request */
#define RATE_REPEAT_MS 500     /* interval at which a host repeats its own observation */
#define RATE_DETECTION_MS 1500 /* time until a killed or partitioned host is detected */
#define RATE_WINDOW_MS 4000    /* window in which arrivals are counted */
#define RATE_LEARN_MAX_MS 3000 /* time until all hosts have to know that a rate is advertised */
#define RATE_INFORMED_MS 500   /* a host's requests count from this long after its first own response with a rate */
#define RATE_EVENTS_MAX 1000000
#define RATE_SENDS_MAX 100000
#define RATE_QUEUE_MAX 64

typedef enum rate_strategy_t {
    RATE_OWNERS = 0,
    RATE_EQUAL_SHARES,
    RATE_BROADCAST,
    RATE_STRATEGY_COUNT
} rate_strategy_t;

typedef struct rate_model_t {
    rate_strategy_t strategy;
    uint32_t hosts;
    double per_s;       /* advertised by the server */
    double other_per_s; /* the rate alternates with this one every second, 0: it is constant */
    int64_t advertised_from_ms, advertised_until_ms;
    double host_demand_per_s;
    uint32_t message_delay_ms, loss_percent; /* of messages between hosts */
    uint32_t killed;                         /* number of hosts, the first ones, that are killed at kill_ms */
    int64_t kill_ms;
    uint32_t partitioned; /* number of hosts, the first ones, that are partitioned from partition_ms until heal_ms */
    int64_t partition_ms, heal_ms;
    int64_t duration_ms;
    uint64_t seed;
    /* results */
    double worst_ratio;      /* most arrivals in a window, as a share of those allowed */
    double utilization;      /* arrivals as a share of the rate, from 2 * RATE_LEARN_MAX_MS after its start */
    int64_t all_informed_ms; /* from the start of the rate until it is active at all hosts, -1: never */
    int64_t all_released_ms; /* from its withdrawal until it is active at no host, -1: never */
    uint64_t messages;
} rate_model_t;

/* A message to a host. All responses take the same time, and so do all messages between hosts, so each of the two
   queues is in the order of due_ms. */
typedef struct rate_event_t {
    int64_t due_ms;
    uint32_t host;
    bool is_response; /* of the server; otherwise a message of another host */
    bool has_rate;    /* the response advertises a rate */
    double per_s;
    int64_t sent_ms;
    cw_rate_observation_t observation;
} rate_event_t;

typedef struct rate_host_t {
    cw_rate_t rate;
    cw_bucket_t share_bucket;
    int64_t sends_ms[256]; /* sends by all hosts, as far as this host knows; only with RATE_BROADCAST */
    uint32_t send_count;
    int64_t queue_ms[RATE_QUEUE_MAX];
    uint32_t queued;
    uint64_t ids[RATE_HOSTS_MAX];
    uint32_t live, missing;
    /* informed_ms: first own response that advertised a rate, 0: none.
       repeat_ms: last repetition of the host's own observation. */
    int64_t informed_ms, repeat_ms;
} rate_host_t;

typedef struct rate_send_t {
    int64_t at_ms;
    bool is_counted;
} rate_send_t;

typedef struct rate_queue_t {
    rate_event_t* events;
    uint32_t first, count;
} rate_queue_t;

typedef struct rate_simulation_t {
    rate_model_t* m;
    rate_host_t* host;
    rate_queue_t responses, peer_messages;
    rate_send_t* sends;
    uint32_t send_count;
    rng_t rng;
    int64_t now_ms;
} rate_simulation_t;

static inline uint64_t rate_id(uint32_t i) {
    return cw_mix(77, 1 + i);
}

static inline double rate_per_s(const rate_model_t* m, int64_t now_ms) {
    bool is_other = m->other_per_s > 0 && (now_ms / 1000) % 2;
    return is_other ? m->other_per_s : m->per_s;
}

static inline bool rate_is_advertised(const rate_model_t* m, int64_t now_ms) {
    return now_ms >= m->advertised_from_ms && now_ms < m->advertised_until_ms;
}

static inline bool rate_is_dead(const rate_model_t* m, uint32_t host, int64_t now_ms) {
    return host < m->killed && now_ms >= m->kill_ms;
}

static inline bool rate_is_partitioned(const rate_model_t* m, uint32_t host, int64_t now_ms) {
    return host < m->partitioned && now_ms >= m->partition_ms && now_ms < m->heal_ms;
}

static inline void rate_enqueue(rate_queue_t* q, const rate_event_t* e) {
    if (q->count == RATE_EVENTS_MAX) {
        abort();
    }
    q->events[(q->first + q->count++) % RATE_EVENTS_MAX] = *e;
}

static inline bool rate_dequeue(rate_queue_t* q, int64_t now_ms, rate_event_t* out) {
    if (!q->count || q->events[q->first].due_ms > now_ms) {
        return false;
    }
    *out = q->events[q->first];
    q->first = (q->first + 1) % RATE_EVENTS_MAX;
    q->count--;
    return true;
}

/* Sends the host's own observation to all others. */
static inline void rate_send_observation(rate_simulation_t* sim, uint32_t from,
                                         const cw_rate_observation_t* observation) {
    const rate_model_t* m = sim->m;
    for (uint32_t i = 0; i < m->hosts; i++) {
        bool is_separated = rate_is_partitioned(m, i, sim->now_ms) != rate_is_partitioned(m, from, sim->now_ms);
        if (i == from || is_separated || rate_is_dead(m, i, sim->now_ms) ||
            rng_below(&sim->rng, 100) < m->loss_percent) {
            continue;
        }
        sim->m->messages++;
        rate_enqueue(
            &sim->peer_messages,
            &(rate_event_t){.due_ms = sim->now_ms + m->message_delay_ms, .host = i, .observation = *observation});
    }
}

/* Updates the host's list of live hosts and the number of those that may be partitioned from it. */
static inline void rate_update_hosts(rate_simulation_t* sim, uint32_t host) {
    const rate_model_t* m = sim->m;
    rate_host_t* h = &sim->host[host];
    int64_t seen_ms = sim->now_ms - RATE_DETECTION_MS;
    h->live = h->missing = 0;
    for (uint32_t i = 0; i < m->hosts; i++) {
        bool is_separated = rate_is_partitioned(m, i, seen_ms) != rate_is_partitioned(m, host, seen_ms);
        if (rate_is_dead(m, i, seen_ms)) {
            continue;
        }
        if (is_separated) {
            h->missing++;
        } else {
            h->ids[h->live++] = rate_id(i);
        }
    }
}

static inline void rate_update_share(rate_simulation_t* sim, uint32_t host) {
    rate_host_t* h = &sim->host[host];
    cw_rate_set_hosts(
        &h->rate, sim->now_ms,
        &(cw_rate_hosts_t){.server = 5, .own = rate_id(host), .ids = h->ids, .count = h->live, .missing = h->missing});
    if (h->rate.observation.state == CW_RATE_ADVERTISED && !h->share_bucket.started) {
        h->share_bucket = (cw_bucket_t){.started = true, .at_ms = sim->now_ms};
    }
    double per_s = h->rate.observation.per_s > 0.1 ? h->rate.observation.per_s : 0.1;
    cw_bucket_set_rate(&h->share_bucket, sim->now_ms, per_s / sim->m->hosts, 1);
}

static inline uint32_t rate_count_recent_sends(rate_host_t* h, int64_t now_ms) {
    uint32_t remaining = 0;
    for (uint32_t i = 0; i < h->send_count; i++) {
        if (now_ms - h->sends_ms[i] < RATE_WINDOW_MS) {
            h->sends_ms[remaining++] = h->sends_ms[i];
        }
    }
    h->send_count = remaining;
    return remaining;
}

static inline bool rate_can_send(rate_simulation_t* sim, rate_host_t* h) {
    if (!cw_rate_is_active(&h->rate, sim->now_ms)) {
        return true;
    }
    switch (sim->m->strategy) {
        case RATE_OWNERS:
            return !cw_rate_wait_ms(&h->rate, sim->now_ms);
        case RATE_EQUAL_SHARES:
            return !cw_bucket_wait_ms(&h->share_bucket, sim->now_ms, 1);
        default:
            return rate_count_recent_sends(h, sim->now_ms) + 1 <= h->rate.observation.per_s * RATE_WINDOW_MS / 1000 + 1;
    }
}

static inline void rate_record_send(rate_host_t* h, int64_t at_ms) {
    if (h->send_count < sizeof(h->sends_ms) / sizeof(*h->sends_ms)) {
        h->sends_ms[h->send_count++] = at_ms;
    }
}

/* Notifies all other hosts that the host sends a request; only with RATE_BROADCAST. */
static inline void rate_broadcast_send(rate_simulation_t* sim, uint32_t from) {
    for (uint32_t i = 0; i < sim->m->hosts; i++) {
        bool is_separated =
            rate_is_partitioned(sim->m, i, sim->now_ms) != rate_is_partitioned(sim->m, from, sim->now_ms);
        if (i != from && !is_separated && rng_below(&sim->rng, 100) >= sim->m->loss_percent) {
            sim->m->messages++;
            rate_enqueue(
                &sim->peer_messages,
                &(rate_event_t){.due_ms = sim->now_ms + sim->m->message_delay_ms, .host = i, .sent_ms = sim->now_ms});
        }
    }
}

static inline void rate_send(rate_simulation_t* sim, uint32_t host) {
    rate_model_t* m = sim->m;
    rate_host_t* h = &sim->host[host];
    bool has_rate = rate_is_advertised(m, sim->now_ms);
    if (sim->send_count == RATE_SENDS_MAX) {
        abort();
    }
    bool is_informed = h->informed_ms && sim->now_ms - h->informed_ms >= RATE_INFORMED_MS;
    sim->sends[sim->send_count++] = (rate_send_t){
        .at_ms = sim->now_ms, .is_counted = is_informed && !(host < m->partitioned && sim->now_ms >= m->partition_ms)};
    cw_rate_on_send(&h->rate, sim->now_ms);
    cw_bucket_take(&h->share_bucket, sim->now_ms, 1);
    if (m->strategy == RATE_BROADCAST && cw_rate_is_active(&h->rate, sim->now_ms)) {
        rate_record_send(h, sim->now_ms);
        rate_broadcast_send(sim, host);
    }
    rate_enqueue(&sim->responses, &(rate_event_t){.due_ms = sim->now_ms + RATE_RESPONSE_MS,
                                                  .host = host,
                                                  .is_response = true,
                                                  .has_rate = has_rate,
                                                  .per_s = rate_per_s(m, sim->now_ms),
                                                  .sent_ms = sim->now_ms});
}

static inline void rate_on_event(rate_simulation_t* sim, const rate_event_t* e) {
    rate_host_t* h = &sim->host[e->host];
    bool changed = false;
    if (e->is_response && e->has_rate) {
        h->informed_ms = h->informed_ms ? h->informed_ms : sim->now_ms;
        changed = cw_rate_on_advertised(&h->rate, e->sent_ms, sim->now_ms, e->per_s);
    } else if (e->is_response) {
        changed = cw_rate_on_withdrawn(&h->rate, e->sent_ms, sim->now_ms);
    } else if (e->observation.state != CW_RATE_UNKNOWN) {
        changed = cw_rate_on_peer(&h->rate, &e->observation, sim->m->message_delay_ms);
    } else {
        rate_record_send(h, e->sent_ms);
    }
    if (changed) {
        rate_update_share(sim, e->host);
        cw_rate_observation_t observation = cw_rate_to_send(&h->rate, sim->now_ms);
        if (e->is_response && observation.state != CW_RATE_UNKNOWN) {
            rate_send_observation(sim, e->host, &observation);
        }
    }
}

static inline void rate_host_step(rate_simulation_t* sim, uint32_t host) {
    rate_model_t* m = sim->m;
    rate_host_t* h = &sim->host[host];
    if ((double)rng_below(&sim->rng, 1000000) < m->host_demand_per_s * RATE_STEP_MS * 1000 &&
        h->queued < RATE_QUEUE_MAX) {
        h->queue_ms[h->queued++] = sim->now_ms;
    }
    uint32_t remaining = 0;
    for (uint32_t i = 0; i < h->queued; i++) {
        if (rate_can_send(sim, h)) {
            rate_send(sim, host);
        } else if (sim->now_ms - h->queue_ms[i] < RATE_WAIT_MAX_MS) {
            h->queue_ms[remaining++] = h->queue_ms[i];
        }
    }
    h->queued = remaining;
    if (sim->now_ms - h->repeat_ms >= RATE_REPEAT_MS) {
        h->repeat_ms = sim->now_ms;
        cw_rate_observation_t observation = cw_rate_to_send(&h->rate, sim->now_ms);
        if (observation.state != CW_RATE_UNKNOWN) {
            rate_send_observation(sim, host, &observation);
        }
        rate_update_hosts(sim, host);
        rate_update_share(sim, host);
    }
}

/* Most arrivals that the server permits in a window that ends at end_ms. */
static inline double rate_allowed(const rate_model_t* m, int64_t end_ms) {
    double sum = 0;
    for (int64_t at = end_ms - RATE_WINDOW_MS; at < end_ms; at += 100) {
        sum += rate_per_s(m, at) * 0.1;
    }
    return 1.5 * sum + 5;
}

static inline void rate_evaluate(rate_simulation_t* sim) {
    rate_model_t* m = sim->m;
    int64_t from_ms = m->advertised_from_ms + RATE_LEARN_MAX_MS;
    uint32_t used = 0;
    for (uint32_t i = 0; i < sim->send_count; i++) {
        int64_t end_ms = sim->sends[i].at_ms;
        if (end_ms < from_ms || end_ms >= m->advertised_until_ms) {
            continue;
        }
        used += end_ms >= from_ms + RATE_LEARN_MAX_MS;
        uint32_t arrivals = 0;
        for (uint32_t k = i; k != UINT32_MAX && sim->sends[k].at_ms > end_ms - RATE_WINDOW_MS; k--) {
            arrivals += sim->sends[k].is_counted && sim->sends[k].at_ms >= from_ms;
        }
        double ratio = arrivals / rate_allowed(m, end_ms + 1);
        m->worst_ratio = ratio > m->worst_ratio ? ratio : m->worst_ratio;
    }
    double span_s = (double)(m->advertised_until_ms - from_ms - RATE_LEARN_MAX_MS) / 1000;
    double mean = m->other_per_s > 0 ? (m->per_s + m->other_per_s) / 2 : m->per_s;
    m->utilization = mean > 0 ? used / (mean * span_s) : 0;
}

/* Whether a rate is active at all live hosts (has_rate), or at none of them. */
static inline bool rate_all_informed(const rate_simulation_t* sim, bool has_rate) {
    for (uint32_t i = 0; i < sim->m->hosts; i++) {
        if (!rate_is_dead(sim->m, i, sim->now_ms) && cw_rate_is_active(&sim->host[i].rate, sim->now_ms) != has_rate) {
            return false;
        }
    }
    return true;
}

static inline void rate_simulate(rate_model_t* m) {
    rate_simulation_t sim = {.m = m, .rng = {.state = m->seed}, .now_ms = 1000};
    sim.host = calloc(m->hosts, sizeof(*sim.host));
    sim.responses.events = malloc(RATE_EVENTS_MAX * sizeof(rate_event_t));
    sim.peer_messages.events = malloc(RATE_EVENTS_MAX * sizeof(rate_event_t));
    sim.sends = malloc(RATE_SENDS_MAX * sizeof(*sim.sends));
    if (!sim.host || !sim.responses.events || !sim.peer_messages.events || !sim.sends) {
        abort();
    }
    m->worst_ratio = 0;
    m->all_informed_ms = m->all_released_ms = -1;
    for (uint32_t i = 0; i < m->hosts; i++) {
        sim.host[i].repeat_ms = sim.now_ms - rng_below(&sim.rng, RATE_REPEAT_MS);
        rate_update_hosts(&sim, i);
    }
    for (; sim.now_ms < m->duration_ms; sim.now_ms += RATE_STEP_MS) {
        rate_event_t e;
        while (rate_dequeue(&sim.responses, sim.now_ms, &e) || rate_dequeue(&sim.peer_messages, sim.now_ms, &e)) {
            if (!rate_is_dead(m, e.host, sim.now_ms)) {
                rate_on_event(&sim, &e);
            }
        }
        for (uint32_t i = 0; i < m->hosts; i++) {
            if (!rate_is_dead(m, i, sim.now_ms)) {
                rate_host_step(&sim, i);
            }
        }
        if (m->all_informed_ms < 0 && rate_is_advertised(m, sim.now_ms) && rate_all_informed(&sim, true)) {
            m->all_informed_ms = sim.now_ms - m->advertised_from_ms;
        }
        if (m->all_released_ms < 0 && sim.now_ms >= m->advertised_until_ms && rate_all_informed(&sim, false)) {
            m->all_released_ms = sim.now_ms - m->advertised_until_ms;
        }
    }
    rate_evaluate(&sim);
    free(sim.host);
    free(sim.responses.events);
    free(sim.peer_messages.events);
    free(sim.sends);
}

#endif
