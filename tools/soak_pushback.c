#include "soak_pushback.h"

#include <stdio.h>
#include <stdlib.h>

#include "../chalkway_core.h"

#define ARRIVALS_MAX 400000
#define SIGNALS_MAX 400000
#define RATES_MAX 1024
#define RATE_TOLERANCE 1.5      /* times the advertised rate */
#define RATE_BURST_REQUESTS 5.0 /* allowed on top of the rate */
#define MS_PER_S 1000.0

struct soak_pushback_t {
    soak_arrival_t* arrivals; /* in order of time */
    soak_pushback_signal_t* signals;
    soak_rate_t rates[RATES_MAX];
    uint32_t arrival_count, signal_count, rate_count;
};

soak_pushback_t* soak_pushback_setup(void) {
    soak_pushback_t* p = cw_alloc(NULL, 1, sizeof(*p));
    p->arrivals = cw_alloc(NULL, ARRIVALS_MAX, sizeof(*p->arrivals));
    p->signals = cw_alloc(NULL, SIGNALS_MAX, sizeof(*p->signals));
    return p;
}

void soak_pushback_shutdown(soak_pushback_t* p) {
    free(p->arrivals);
    free(p->signals);
    free(p);
}

void soak_pushback_add_arrival(soak_pushback_t* p, const soak_arrival_t* arrival) {
    if (p->arrival_count < ARRIVALS_MAX) {
        p->arrivals[p->arrival_count++] = *arrival;
    }
}

void soak_pushback_add_signal(soak_pushback_t* p, const soak_pushback_signal_t* signal) {
    if (p->signal_count < SIGNALS_MAX) {
        p->signals[p->signal_count++] = *signal;
    }
}

void soak_pushback_set_rate(soak_pushback_t* p, int64_t at_ms, uint64_t server, double per_s) {
    for (uint32_t i = 0; i < p->rate_count; i++) {
        if (p->rates[i].server == server && !p->rates[i].until_ms) {
            p->rates[i].until_ms = at_ms;
        }
    }
    if (per_s >= 0 && p->rate_count < RATES_MAX) {
        p->rates[p->rate_count++] = (soak_rate_t){.server = server, .per_s = per_s, .from_ms = at_ms};
    }
}

/* Returns whether the host of the arrival had received pushback of this kind from the upstream by before_ms. Callers
   pass the time at which the request was sent or arrived, minus the time that the host has to comply. */
static bool has_signal(const soak_pushback_t* p, soak_pushback_kind_t kind, const soak_arrival_t* a,
                       int64_t before_ms) {
    for (uint32_t i = 0; i < p->signal_count && p->signals[i].at_ms <= before_ms; i++) {
        const soak_pushback_signal_t* signal = &p->signals[i];
        if (signal->kind == kind && signal->server == a->server && signal->host == a->host) {
            return true;
        }
    }
    return false;
}

static void check_rate(const soak_pushback_t* p, const soak_rate_t* rate, soak_pushback_on_violation_t on_violation,
                       void* user) {
    int64_t from_ms = rate->from_ms + SOAK_PUSHBACK_RATE_GRACE_MS;
    double allowed = RATE_TOLERANCE * rate->per_s * SOAK_PUSHBACK_WINDOW_MS / MS_PER_S + RATE_BURST_REQUESTS;
    int64_t arrivals_ms[256]; /* ring of the latest arrivals, to count those in the window that ends with the newest */
    uint32_t count = 0;
    for (uint32_t i = 0; i < p->arrival_count; i++) {
        const soak_arrival_t* a = &p->arrivals[i];
        bool is_match =
            a->server == rate->server && a->at_ms >= from_ms && (!rate->until_ms || a->at_ms < rate->until_ms);
        if (!is_match || a->is_excused || !has_signal(p, SOAK_PUSHBACK_RATE, a, a->at_ms - SOAK_PUSHBACK_REACTION_MS)) {
            continue;
        }
        arrivals_ms[count++ % 256] = a->at_ms;
        uint32_t in_window_count = 0;
        for (uint32_t k = 0; k < 256 && k < count; k++) {
            in_window_count += arrivals_ms[k] > a->at_ms - SOAK_PUSHBACK_WINDOW_MS;
        }
        if (in_window_count > allowed) {
            char what[80];
            snprintf(what, sizeof(what), "%u requests arrived in 4 s at an advertised rate of %.1f per s",
                     in_window_count, rate->per_s);
            on_violation(user, SOAK_PUSHBACK_RATE, a, what);
        }
    }
}

static void check_backoff(const soak_pushback_t* p, const soak_pushback_signal_t* signal,
                          soak_pushback_on_violation_t on_violation, void* user) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < p->arrival_count && p->arrivals[i].at_ms < signal->at_ms + signal->backoff_ms; i++) {
        const soak_arrival_t* a = &p->arrivals[i];
        bool is_match = a->server == signal->server && a->host == signal->host && !a->is_excused;
        if (is_match && a->at_ms > signal->at_ms + SOAK_PUSHBACK_REACTION_MS &&
            ++count > SOAK_PUSHBACK_BACKOFF_ARRIVALS_MAX) {
            on_violation(user, SOAK_PUSHBACK_BACKOFF, a, "more than two requests arrived during a backoff");
            return;
        }
    }
}

void soak_pushback_check(const soak_pushback_t* p, int64_t leaving_grace_ms, soak_pushback_on_violation_t on_violation,
                         void* user) {
    for (uint32_t i = 0; i < p->rate_count; i++) {
        check_rate(p, &p->rates[i], on_violation, user);
    }
    for (uint32_t i = 0; i < p->signal_count; i++) {
        if (p->signals[i].kind == SOAK_PUSHBACK_BACKOFF) {
            check_backoff(p, &p->signals[i], on_violation, user);
        }
    }
    for (uint32_t i = 0; i < p->arrival_count; i++) {
        const soak_arrival_t* a = &p->arrivals[i];
        if (!a->is_excused && has_signal(p, SOAK_PUSHBACK_LEAVING, a, a->sent_ms - leaving_grace_ms)) {
            on_violation(user, SOAK_PUSHBACK_LEAVING, a,
                         "a request arrived after the upstream had announced leaving to the host");
        }
    }
}
