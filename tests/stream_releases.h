#ifndef CW_TEST_STREAM_RELEASES_H
#define CW_TEST_STREAM_RELEASES_H
/*
    Plays in which hosts are lost while streams of one or two software versions are under way, and engines are replaced.
*/
#include "stream_plays.h"

#define DOWN_S 1.0
#define SHORT_DOWN_S 0.4
#define AWAY_S 3.0
#define BEGIN_S 1.0  /* streams begin within this time */
#define BEFORE_S 0.5 /* from then until a loss */
#define ONE_VERSION_S 1.0
#define TWO_VERSIONS_S 10.0 /* versions serve side by side for this long before a loss */
#define SETTLED_S 4.0       /* streams begin at both versions by then, and lists of servers are read at a steady pace */
#define RELEASE_S 2.0
#define SECOND_VERSION_S 0.5
#define EARLIER_RUNS_EVERY 3  /* one prompt of so many had a run before */
#define TURNS_EVERY 3         /* one session of so many had a request at v2 */
#define SECOND_LOSS_S 3.0     /* after the hosts are back */
#define SLOW_FIRST_EVENT_S 2. /* later than the loss that follows */

/* -- losses ---------------------------------------------------------------- */

static inline void vary_during(site_t* s, variation_t variation) {
    if (variation == HISTORY_FORGOTTEN) {
        store_forget_history(&s->store);
    } else if (variation == SOURCE_RESTORED) {
        store_restore(&s->store);
    }
    s->store.is_away = variation == SOURCE_AWAY;
}

/* Requests of the callers' sessions were at engines of v2. */
static inline void keep_turns(site_t* s) {
    uint32_t tokens = CALLER_OWN_TOKENS + (s->has_whole_turns ? s->events * ENGINE_EVENT_TOKENS : 0);
    for (uint32_t i = 0; i < s->caller_count && s->has_turns; i += TURNS_EVERY) {
        engine_t* e = &s->engines[rng_below(&s->rng, s->engine_count)];
        while (!e->httpd || strcmp(e->version, "v2") != 0) {
            e = &s->engines[rng_below(&s->rng, s->engine_count)];
        }
        engine_keep_part(e, s->callers[i].session, tokens);
    }
}

static inline void lose_all_hosts(site_t* s, variation_t variation) {
    keep_turns(s);
    site_kill_hosts(s, 0, s->host_count);
    site_run(s, DOWN_S / 2);
    vary_during(s, variation);
    site_run(s, DOWN_S / 2);
    site_start_hosts(s, 0, s->host_count);
    if (variation == SOURCE_AWAY) {
        site_run(s, AWAY_S);
        s->store.is_away = false;
    }
}

/* Whole runs of the sessions' prompts, at engines of either version. */
static inline void keep_earlier_runs(site_t* s) {
    for (uint32_t i = 0; i < s->caller_count; i += EARLIER_RUNS_EVERY) {
        engine_keep_part(&s->engines[rng_below(&s->rng, s->engine_count)], s->callers[i].session,
                         CALLER_OWN_TOKENS + s->events * ENGINE_EVENT_TOKENS);
    }
}

/* -- plays ----------------------------------------------------------------- */

static inline void begin_streams(site_t* s, uint32_t events, variation_t variation) {
    s->events = events;
    store_copy(&s->store);
    if (variation == BEGINNING_FORGOTTEN) {
        store_forget_history(&s->store);
    }
    site_begin_streams(s, streams_for(s), BEGIN_S);
    for (uint32_t i = 0; i < s->engine_count; i++) {
        s->engines[i].fails_list = variation == LISTS_FAIL && strcmp(s->engines[i].version, "v2") == 0;
    }
    if (variation == EARLIER_RUNS || variation == EARLIER_RUNS_DROPPED || variation == LISTS_FAIL) {
        keep_earlier_runs(s);
    }
}

static inline void start_with_two_versions(site_t* s, double settled_s) {
    add_engines(s, engines_for(s) / 2, "v1");
    add_engines(s, engines_for(s) / 2, "v2");
    site_start(s);
    site_run(s, settled_s);
}

static inline void play_one_version(site_t* s, variation_t variation) {
    start_with_one_version(s, ONE_VERSION_S);
    begin_streams(s, 60, variation);
    site_run(s, BEFORE_S);
    lose_all_hosts(s, variation);
}

static inline void play_two_versions(site_t* s, variation_t variation) {
    start_with_two_versions(s, TWO_VERSIONS_S - BEGIN_S - BEFORE_S);
    begin_streams(s, 60, variation);
    site_run(s, BEFORE_S);
    lose_all_hosts(s, variation);
}

/* The hosts are lost again after the streams were taken up, or begun again. */
static inline void play_two_losses(site_t* s, variation_t variation) {
    play_two_versions(s, variation);
    site_run(s, SECOND_LOSS_S);
    lose_all_hosts(s, variation);
}

/* At the first loss the engines have read the prompts, and no stream has an event: their callers begin again, at an
   engine of either version. */
static inline void play_begun_again(site_t* s, variation_t variation) {
    start_with_two_versions(s, SETTLED_S);
    for (uint32_t i = 0; i < s->engine_count; i++) {
        s->engines[i].first_event_s = SLOW_FIRST_EVENT_S;
    }
    begin_streams(s, 60, variation);
    site_kill_hosts(s, 0, s->host_count);
    for (uint32_t i = 0; i < s->engine_count; i++) {
        s->engines[i].first_event_s = ENGINE_FIRST_EVENT_S;
    }
    site_run(s, DOWN_S);
    site_start_hosts(s, 0, s->host_count);
    site_run(s, SETTLED_S);
    lose_all_hosts(s, variation);
}

/* Engines of v2 join, and leave the list again before the loss. */
static inline void play_rollback(site_t* s, variation_t variation) {
    start_with_one_version(s, ONE_VERSION_S);
    store_copy(&s->store);
    uint32_t old_count = s->engine_count;
    add_engines(s, old_count / 2, "v2");
    site_run(s, SETTLED_S);
    s->events = 60;
    site_begin_streams(s, streams_for(s), BEGIN_S);
    for (uint32_t i = old_count; i < s->engine_count; i++) {
        engine_unlist(&s->engines[i]);
    }
    site_run(s, BEFORE_S);
    lose_all_hosts(s, variation);
}

typedef enum release_t {
    UNLISTED,  /* engines of the old version serve on without an entry */
    DRAINING,  /* they say that they leave, and serve on */
    ENDED,     /* they end after that */
    RESTARTED, /* they start again in place with the new version */
    HALFWAY    /* the release goes on after the loss: as unlisted */
} release_t;

static inline void replace_engine(site_t* s, engine_t* old, release_t release, double step_s) {
    if (release == RESTARTED) {
        engine_break_off(old);
        site_run(s, step_s / 2);
        engine_end(old);
        engine_start(old, "v2");
    } else {
        site_add_engine(s, "v2");
        site_run(s, step_s / 2);
        if (release == DRAINING) {
            engine_leave(old);
        } else {
            engine_unlist(old);
        }
    }
    site_run(s, step_s / 2);
}

/* Two in five engines are of v1 until a release replaces them by engines of v2, one after the other. */
static inline void play_release(site_t* s, release_t release, variation_t variation) {
    uint32_t old_count = engines_for(s) / 3;
    add_engines(s, old_count, "v1");
    add_engines(s, old_count * 3 / 2, "v2");
    site_start(s);
    site_run(s, SETTLED_S);
    begin_streams(s, 100, variation);
    uint32_t replaced = release == HALFWAY ? old_count / 2 : old_count;
    for (uint32_t i = 0; i < replaced; i++) {
        replace_engine(s, &s->engines[i], release, RELEASE_S / old_count);
    }
    if (release != HALFWAY) {
        site_run(s, DOWN_S / 2);
        for (uint32_t i = 0; i < old_count && release == ENDED; i++) {
            engine_break_off(&s->engines[i]);
        }
        site_run(s, DOWN_S / 2);
        for (uint32_t i = 0; i < old_count && release == ENDED; i++) {
            engine_end(&s->engines[i]);
        }
    }
    lose_all_hosts(s, variation);
}

static inline void play_release_unlisted(site_t* s, variation_t variation) {
    play_release(s, UNLISTED, variation);
}

static inline void play_release_ended(site_t* s, variation_t variation) {
    play_release(s, ENDED, variation);
}

static inline void play_release_draining(site_t* s, variation_t variation) {
    play_release(s, DRAINING, variation);
}

static inline void play_release_in_place(site_t* s, variation_t variation) {
    play_release(s, RESTARTED, variation);
}

static inline void play_release_halfway(site_t* s, variation_t variation) {
    play_release(s, HALFWAY, variation);
}

/* A host without power says nothing, and connections to it hang. */
static inline void play_power_loss(site_t* s, variation_t variation) {
    start_with_one_version(s, SETTLED_S);
    s->prefers_first_host = true;
    begin_streams(s, 60, variation);
    site_run(s, BEFORE_S);
    kill(s->pids[0], SIGSTOP);
    s->is_dark[0] = true;
    site_run(s, SECOND_VERSION_S);
    site_add_engine(s, "v2");
}

static inline void lose_halves(site_t* s, double down_s) {
    uint32_t half = s->host_count / 2;
    start_with_two_versions(s, SETTLED_S);
    begin_streams(s, 60, PLAIN);
    site_run(s, BEFORE_S);
    site_kill_hosts(s, 0, half);
    site_run(s, down_s);
    if (down_s < DOWN_S) {
        site_start_hosts(s, 0, half);
        site_run(s, DOWN_S - down_s);
        site_kill_hosts(s, half, s->host_count);
    } else {
        site_kill_hosts(s, half, s->host_count);
        site_start_hosts(s, 0, half);
    }
    site_run(s, down_s);
    site_start_hosts(s, half, s->host_count);
}

/* The first half is back before the second is killed. */
static inline void play_halves(site_t* s, variation_t variation) {
    (void)variation;
    lose_halves(s, SHORT_DOWN_S);
}

/* The first half returns as the second is killed. */
static inline void play_halves_without_overlap(site_t* s, variation_t variation) {
    (void)variation;
    lose_halves(s, DOWN_S);
}

#endif
