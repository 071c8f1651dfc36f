#ifndef CW_TEST_RATE_MODEL_H
#define CW_TEST_RATE_MODEL_H
/*
    Many hosts before one server that names its rate, on one clock and without a network. Callers' requests come to each
    host by chance, by seed; one that may not be sent waits for a while and then gives up. Hosts hear of each other's
   words late, or not at all, and learn late which hosts live. The judge knows what the server named and when, and which
   host had been told.

    Three ways to share the rate, to be compared: few owners by hashing (chalkway_rate.h), equal parts for all hosts
   that were ever known, and sends told to all and summed by each.
*/
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_rate.h"
#include "rng.h"

#define RATE_HOSTS_MAX 300
#define RATE_STEP_MS 5
#define RATE_ANSWER_MS 20 /* from a request to the head of its answer */
#define RATE_PATIENCE_MS 500
#define RATE_REPEAT_MS 500  /* a host's own word is told again after so long */
#define RATE_NOTICE_MS 1500 /* until a host that ended or is cut off is missed */
#define RATE_WINDOW_MS 4000
#define RATE_CONTACT_MS 3000
#define RATE_TOLD_MS 500
#define RATE_EVENTS_MAX 1000000
#define RATE_SENDS_MAX 100000
#define RATE_QUEUE_MAX 64

typedef enum rate_way_t { RATE_OWNERS = 0, RATE_EQUAL_PARTS, RATE_SUMMED, RATE_WAY_COUNT } rate_way_t;

typedef struct rate_model_t {
    rate_way_t way;
    uint32_t hosts;
    double per_s;       /* that the server names */
    double other_per_s; /* it changes to this one and back each second, 0: never */
    int64_t named_from_ms, named_until_ms;
    double host_demand_per_s;
    uint32_t news_ms, loss_percent;
    uint32_t killed; /* of the hosts, the first ones, at kill_ms */
    int64_t kill_ms;
    uint32_t cut; /* of the hosts, the first ones, from cut_ms until heal_ms */
    int64_t cut_ms, heal_ms;
    int64_t play_ms;
    uint64_t seed;
    /* results */
    double worst;        /* arrivals in a window as a share of what is allowed */
    double use;          /* arrivals as a share of the rate, while it was named and all was calm */
    int64_t all_know_ms; /* from the naming until all hosts know, -1: never */
    int64_t all_free_ms; /* from its end until all hosts know of that, -1: never */
    uint64_t messages;
} rate_model_t;

/* All answers take the same time, and all news does, so that each stands in a queue in the order in which it is due. */
typedef struct rate_event_t {
    int64_t due_ms;
    uint32_t host;
    bool answer; /* else another host's word */
    bool limited;
    double per_s;
    int64_t sent_ms;
    cw_rate_word_t word;
} rate_event_t;

typedef struct rate_host_t {
    cw_rate_t rate;
    cw_bucket_t part;
    int64_t sends_ms[256]; /* heard of and own, RATE_SUMMED */
    uint32_t send_count;
    int64_t queue_ms[RATE_QUEUE_MAX];
    uint32_t queued;
    uint64_t ids[RATE_HOSTS_MAX];
    uint32_t live, missing;
    int64_t told_ms, repeat_ms;
} rate_host_t;

typedef struct rate_send_t {
    int64_t at_ms;
    bool counts;
} rate_send_t;

typedef struct rate_queue_t {
    rate_event_t* events;
    uint32_t first, count;
} rate_queue_t;

typedef struct rate_world_t {
    rate_model_t* m;
    rate_host_t* host;
    rate_queue_t answers, news;
    rate_send_t* sends;
    uint32_t send_count;
    rng_t rng;
    int64_t now_ms;
} rate_world_t;

static inline uint64_t rate_id(uint32_t i) {
    return cw_mix(77, 1 + i);
}

static inline double rate_per_s(const rate_model_t* m, int64_t now_ms) {
    bool other = m->other_per_s > 0 && (now_ms / 1000) % 2;
    return other ? m->other_per_s : m->per_s;
}

static inline bool rate_is_named(const rate_model_t* m, int64_t now_ms) {
    return now_ms >= m->named_from_ms && now_ms < m->named_until_ms;
}

static inline bool rate_is_dead(const rate_model_t* m, uint32_t host, int64_t now_ms) {
    return host < m->killed && now_ms >= m->kill_ms;
}

static inline bool rate_is_cut(const rate_model_t* m, uint32_t host, int64_t now_ms) {
    return host < m->cut && now_ms >= m->cut_ms && now_ms < m->heal_ms;
}

static inline void rate_put(rate_queue_t* q, const rate_event_t* e) {
    if (q->count == RATE_EVENTS_MAX) {
        abort();
    }
    q->events[(q->first + q->count++) % RATE_EVENTS_MAX] = *e;
}

static inline bool rate_next(rate_queue_t* q, int64_t now_ms, rate_event_t* out) {
    if (!q->count || q->events[q->first].due_ms > now_ms) {
        return false;
    }
    *out = q->events[q->first];
    q->first = (q->first + 1) % RATE_EVENTS_MAX;
    q->count--;
    return true;
}

/* The host tells all others what its own answers said. */
static inline void rate_tell(rate_world_t* w, uint32_t from, const cw_rate_word_t* word) {
    const rate_model_t* m = w->m;
    for (uint32_t i = 0; i < m->hosts; i++) {
        bool apart = rate_is_cut(m, i, w->now_ms) != rate_is_cut(m, from, w->now_ms);
        if (i == from || apart || rate_is_dead(m, i, w->now_ms) || rng_below(&w->rng, 100) < m->loss_percent) {
            continue;
        }
        w->m->messages++;
        rate_put(&w->news, &(rate_event_t){.due_ms = w->now_ms + m->news_ms, .host = i, .word = *word});
    }
}

/* Which hosts the host takes to live, and how many may be cut off. */
static inline void rate_look(rate_world_t* w, uint32_t host) {
    const rate_model_t* m = w->m;
    rate_host_t* h = &w->host[host];
    int64_t seen_ms = w->now_ms - RATE_NOTICE_MS;
    h->live = h->missing = 0;
    for (uint32_t i = 0; i < m->hosts; i++) {
        bool apart = rate_is_cut(m, i, seen_ms) != rate_is_cut(m, host, seen_ms);
        if (rate_is_dead(m, i, seen_ms)) {
            continue;
        }
        if (apart) {
            h->missing++;
        } else {
            h->ids[h->live++] = rate_id(i);
        }
    }
}

static inline void rate_share(rate_world_t* w, uint32_t host) {
    rate_host_t* h = &w->host[host];
    cw_rate_set_hosts(
        &h->rate, w->now_ms,
        &(cw_rate_hosts_t){.server = 5, .own = rate_id(host), .ids = h->ids, .count = h->live, .missing = h->missing});
    if (h->rate.word.said == CW_RATE_NAMED && !h->part.started) {
        h->part = (cw_bucket_t){.started = true, .at_ms = w->now_ms};
    }
    double per_s = h->rate.word.per_s > 0.1 ? h->rate.word.per_s : 0.1;
    cw_bucket_set_rate(&h->part, w->now_ms, per_s / w->m->hosts, 1);
}

static inline uint32_t rate_sum(rate_host_t* h, int64_t now_ms) {
    uint32_t kept = 0;
    for (uint32_t i = 0; i < h->send_count; i++) {
        if (now_ms - h->sends_ms[i] < RATE_WINDOW_MS) {
            h->sends_ms[kept++] = h->sends_ms[i];
        }
    }
    h->send_count = kept;
    return kept;
}

static inline bool rate_may(rate_world_t* w, rate_host_t* h) {
    if (!cw_rate_holds(&h->rate, w->now_ms)) {
        return true;
    }
    switch (w->m->way) {
        case RATE_OWNERS:
            return !cw_rate_wait_ms(&h->rate, w->now_ms);
        case RATE_EQUAL_PARTS:
            return !cw_bucket_wait_ms(&h->part, w->now_ms, 1);
        default:
            return rate_sum(h, w->now_ms) + 1 <= h->rate.word.per_s * RATE_WINDOW_MS / 1000 + 1;
    }
}

static inline void rate_count_send(rate_host_t* h, int64_t at_ms) {
    if (h->send_count < sizeof(h->sends_ms) / sizeof(*h->sends_ms)) {
        h->sends_ms[h->send_count++] = at_ms;
    }
}

/* A send told to all, RATE_SUMMED. */
static inline void rate_tell_send(rate_world_t* w, uint32_t from) {
    for (uint32_t i = 0; i < w->m->hosts; i++) {
        bool apart = rate_is_cut(w->m, i, w->now_ms) != rate_is_cut(w->m, from, w->now_ms);
        if (i != from && !apart && rng_below(&w->rng, 100) >= w->m->loss_percent) {
            w->m->messages++;
            rate_put(&w->news, &(rate_event_t){.due_ms = w->now_ms + w->m->news_ms, .host = i, .sent_ms = w->now_ms});
        }
    }
}

static inline void rate_send(rate_world_t* w, uint32_t host) {
    rate_model_t* m = w->m;
    rate_host_t* h = &w->host[host];
    bool limited = rate_is_named(m, w->now_ms);
    if (w->send_count == RATE_SENDS_MAX) {
        abort();
    }
    bool told = h->told_ms && w->now_ms - h->told_ms >= RATE_TOLD_MS;
    w->sends[w->send_count++] =
        (rate_send_t){.at_ms = w->now_ms, .counts = told && !(host < m->cut && w->now_ms >= m->cut_ms)};
    cw_rate_take(&h->rate, w->now_ms);
    cw_bucket_take(&h->part, w->now_ms, 1);
    if (m->way == RATE_SUMMED && cw_rate_holds(&h->rate, w->now_ms)) {
        rate_count_send(h, w->now_ms);
        rate_tell_send(w, host);
    }
    rate_put(&w->answers, &(rate_event_t){.due_ms = w->now_ms + RATE_ANSWER_MS,
                                          .host = host,
                                          .answer = true,
                                          .limited = limited,
                                          .per_s = rate_per_s(m, w->now_ms),
                                          .sent_ms = w->now_ms});
}

static inline void rate_on_event(rate_world_t* w, const rate_event_t* e) {
    rate_host_t* h = &w->host[e->host];
    bool changed = false;
    if (e->answer && e->limited) {
        h->told_ms = h->told_ms ? h->told_ms : w->now_ms;
        changed = cw_rate_named(&h->rate, e->sent_ms, w->now_ms, e->per_s);
    } else if (e->answer) {
        changed = cw_rate_lifted(&h->rate, e->sent_ms, w->now_ms);
    } else if (e->word.said != CW_RATE_UNKNOWN) {
        changed = cw_rate_heard(&h->rate, &e->word, w->m->news_ms);
    } else {
        rate_count_send(h, e->sent_ms);
    }
    if (changed) {
        rate_share(w, e->host);
        cw_rate_word_t word = cw_rate_tell(&h->rate, w->now_ms);
        if (e->answer && word.said != CW_RATE_UNKNOWN) {
            rate_tell(w, e->host, &word);
        }
    }
}

static inline void rate_host_step(rate_world_t* w, uint32_t host) {
    rate_model_t* m = w->m;
    rate_host_t* h = &w->host[host];
    if ((double)rng_below(&w->rng, 1000000) < m->host_demand_per_s * RATE_STEP_MS * 1000 &&
        h->queued < RATE_QUEUE_MAX) {
        h->queue_ms[h->queued++] = w->now_ms;
    }
    uint32_t kept = 0;
    for (uint32_t i = 0; i < h->queued; i++) {
        if (rate_may(w, h)) {
            rate_send(w, host);
        } else if (w->now_ms - h->queue_ms[i] < RATE_PATIENCE_MS) {
            h->queue_ms[kept++] = h->queue_ms[i];
        }
    }
    h->queued = kept;
    if (w->now_ms - h->repeat_ms >= RATE_REPEAT_MS) {
        h->repeat_ms = w->now_ms;
        cw_rate_word_t word = cw_rate_tell(&h->rate, w->now_ms);
        if (word.said != CW_RATE_UNKNOWN) {
            rate_tell(w, host, &word);
        }
        rate_look(w, host);
        rate_share(w, host);
    }
}

/* What the server takes in a window that ends then. */
static inline double rate_allowed(const rate_model_t* m, int64_t end_ms) {
    double sum = 0;
    for (int64_t at = end_ms - RATE_WINDOW_MS; at < end_ms; at += 100) {
        sum += rate_per_s(m, at) * 0.1;
    }
    return 1.5 * sum + 5;
}

static inline void rate_judge(rate_world_t* w) {
    rate_model_t* m = w->m;
    int64_t from_ms = m->named_from_ms + RATE_CONTACT_MS;
    uint32_t used = 0;
    for (uint32_t i = 0; i < w->send_count; i++) {
        int64_t end_ms = w->sends[i].at_ms;
        if (end_ms < from_ms || end_ms >= m->named_until_ms) {
            continue;
        }
        used += end_ms >= from_ms + RATE_CONTACT_MS;
        uint32_t arrivals = 0;
        for (uint32_t k = i; k != UINT32_MAX && w->sends[k].at_ms > end_ms - RATE_WINDOW_MS; k--) {
            arrivals += w->sends[k].counts && w->sends[k].at_ms >= from_ms;
        }
        double share = arrivals / rate_allowed(m, end_ms + 1);
        m->worst = share > m->worst ? share : m->worst;
    }
    double span_s = (double)(m->named_until_ms - from_ms - RATE_CONTACT_MS) / 1000;
    double mean = m->other_per_s > 0 ? (m->per_s + m->other_per_s) / 2 : m->per_s;
    m->use = mean > 0 ? used / (mean * span_s) : 0;
}

/* Whether all hosts that live know that the server names a rate, or that it names none. */
static inline bool rate_all_know(const rate_world_t* w, bool limited) {
    for (uint32_t i = 0; i < w->m->hosts; i++) {
        if (!rate_is_dead(w->m, i, w->now_ms) && cw_rate_holds(&w->host[i].rate, w->now_ms) != limited) {
            return false;
        }
    }
    return true;
}

static inline void rate_play(rate_model_t* m) {
    rate_world_t w = {.m = m, .rng = {.state = m->seed}, .now_ms = 1000};
    w.host = calloc(m->hosts, sizeof(*w.host));
    w.answers.events = malloc(RATE_EVENTS_MAX * sizeof(rate_event_t));
    w.news.events = malloc(RATE_EVENTS_MAX * sizeof(rate_event_t));
    w.sends = malloc(RATE_SENDS_MAX * sizeof(*w.sends));
    if (!w.host || !w.answers.events || !w.news.events || !w.sends) {
        abort();
    }
    m->worst = 0;
    m->all_know_ms = m->all_free_ms = -1;
    for (uint32_t i = 0; i < m->hosts; i++) {
        w.host[i].repeat_ms = w.now_ms - rng_below(&w.rng, RATE_REPEAT_MS);
        rate_look(&w, i);
    }
    for (; w.now_ms < m->play_ms; w.now_ms += RATE_STEP_MS) {
        rate_event_t e;
        while (rate_next(&w.answers, w.now_ms, &e) || rate_next(&w.news, w.now_ms, &e)) {
            if (!rate_is_dead(m, e.host, w.now_ms)) {
                rate_on_event(&w, &e);
            }
        }
        for (uint32_t i = 0; i < m->hosts; i++) {
            if (!rate_is_dead(m, i, w.now_ms)) {
                rate_host_step(&w, i);
            }
        }
        if (m->all_know_ms < 0 && rate_is_named(m, w.now_ms) && rate_all_know(&w, true)) {
            m->all_know_ms = w.now_ms - m->named_from_ms;
        }
        if (m->all_free_ms < 0 && w.now_ms >= m->named_until_ms && rate_all_know(&w, false)) {
            m->all_free_ms = w.now_ms - m->named_until_ms;
        }
    }
    rate_judge(&w);
    free(w.host);
    free(w.answers.events);
    free(w.news.events);
    free(w.sends);
}

#endif
