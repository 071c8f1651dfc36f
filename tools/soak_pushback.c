#include "soak_pushback.h"

#include <stdio.h>
#include <stdlib.h>

#include "../chalkway_core.h"

#define ARRIVALS_MAX 400000
#define WORDS_MAX 400000
#define RATES_MAX 1024
#define ALLOWED_TIMES 1.5 /* the rate */
#define ALLOWED_MORE 5.0  /* requests */
#define MS_PER_S 1000.0

struct soak_pushback_t {
    soak_arrival_t* arrivals; /* in the order of time */
    soak_word_t* words;
    soak_rate_t rates[RATES_MAX];
    uint32_t arrival_count, word_count, rate_count;
};

soak_pushback_t* soak_pushback_setup(void) {
    soak_pushback_t* p = cw_alloc(NULL, 1, sizeof(*p));
    p->arrivals = cw_alloc(NULL, ARRIVALS_MAX, sizeof(*p->arrivals));
    p->words = cw_alloc(NULL, WORDS_MAX, sizeof(*p->words));
    return p;
}

void soak_pushback_shutdown(soak_pushback_t* p) {
    free(p->arrivals);
    free(p->words);
    free(p);
}

void soak_pushback_arrival(soak_pushback_t* p, const soak_arrival_t* arrival) {
    if (p->arrival_count < ARRIVALS_MAX) {
        p->arrivals[p->arrival_count++] = *arrival;
    }
}

void soak_pushback_word(soak_pushback_t* p, const soak_word_t* word) {
    if (p->word_count < WORDS_MAX) {
        p->words[p->word_count++] = *word;
    }
}

void soak_pushback_rate(soak_pushback_t* p, int64_t at_ms, uint64_t server, double per_s) {
    for (uint32_t i = 0; i < p->rate_count; i++) {
        if (p->rates[i].server == server && !p->rates[i].until_ms) {
            p->rates[i].until_ms = at_ms;
        }
    }
    if (per_s >= 0 && p->rate_count < RATES_MAX) {
        p->rates[p->rate_count++] = (soak_rate_t){.server = server, .per_s = per_s, .from_ms = at_ms};
    }
}

/* Whether the host had such a word of the upstream, and could heed it, when the request was sent or came. */
static bool was_told(const soak_pushback_t* p, soak_word_kind_t kind, const soak_arrival_t* a, int64_t before_ms) {
    for (uint32_t i = 0; i < p->word_count && p->words[i].at_ms <= before_ms; i++) {
        const soak_word_t* w = &p->words[i];
        if (w->kind == kind && w->server == a->server && w->host == a->host) {
            return true;
        }
    }
    return false;
}

static void judge_rate(const soak_pushback_t* p, const soak_rate_t* rate, soak_pushback_found_t found, void* user) {
    int64_t from_ms = rate->from_ms + SOAK_PUSHBACK_CONTACT_MS;
    double allowed = ALLOWED_TIMES * rate->per_s * SOAK_PUSHBACK_WINDOW_MS / MS_PER_S + ALLOWED_MORE;
    int64_t counted_ms[256]; /* arrivals of the window that ends with the latest, as a ring */
    uint32_t count = 0;
    for (uint32_t i = 0; i < p->arrival_count; i++) {
        const soak_arrival_t* a = &p->arrivals[i];
        bool meant = a->server == rate->server && a->at_ms >= from_ms && (!rate->until_ms || a->at_ms < rate->until_ms);
        if (!meant || a->excused || !was_told(p, SOAK_WORD_RATE, a, a->at_ms - SOAK_PUSHBACK_TOLD_MS)) {
            continue;
        }
        counted_ms[count++ % 256] = a->at_ms;
        uint32_t inside = 0;
        for (uint32_t k = 0; k < 256 && k < count; k++) {
            inside += counted_ms[k] > a->at_ms - SOAK_PUSHBACK_WINDOW_MS;
        }
        if (inside > allowed) {
            char what[80];
            snprintf(what, sizeof(what), "%u came in 4 s at a rate of %.1f", inside, rate->per_s);
            found(user, SOAK_WORD_RATE, a, what);
        }
    }
}

static void judge_rest(const soak_pushback_t* p, const soak_word_t* w, soak_pushback_found_t found, void* user) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < p->arrival_count && p->arrivals[i].at_ms < w->at_ms + w->rest_ms; i++) {
        const soak_arrival_t* a = &p->arrivals[i];
        bool meant = a->server == w->server && a->host == w->host && !a->excused;
        if (meant && a->at_ms > w->at_ms + SOAK_PUSHBACK_TOLD_MS && ++count > SOAK_PUSHBACK_RESTING) {
            found(user, SOAK_WORD_REST, a, "more than two came in a rest");
            return;
        }
    }
}

void soak_pushback_judge(const soak_pushback_t* p, int64_t heed_ms, soak_pushback_found_t found, void* user) {
    for (uint32_t i = 0; i < p->rate_count; i++) {
        judge_rate(p, &p->rates[i], found, user);
    }
    for (uint32_t i = 0; i < p->word_count; i++) {
        if (p->words[i].kind == SOAK_WORD_REST) {
            judge_rest(p, &p->words[i], found, user);
        }
    }
    for (uint32_t i = 0; i < p->arrival_count; i++) {
        const soak_arrival_t* a = &p->arrivals[i];
        if (!a->excused && was_told(p, SOAK_WORD_LEAVING, a, a->sent_ms - heed_ms)) {
            found(user, SOAK_WORD_LEAVING, a, "came after its host had been told");
        }
    }
}
