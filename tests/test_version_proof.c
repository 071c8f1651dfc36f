/*
    What engines prove of the version that began a stream, over all small worlds: two hosts, the engine that began the
   stream and two others. Guards against a reply or a decision that leaves out what a host knows: a stream was resumed
   at a version that only another request of its session had reached.

    A world is wrong if the hosts conclude a version though, by all that they know together, another one may have begun
   the stream. It is refused if they conclude none though only one may have.
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_stream_inquiry.h"
#include "test.h"

#define HOSTS 2
#define ENGINES 3
#define VERSIONS 2

typedef enum state_t {
    ASKED,      /* its owner has read what it lists */
    FAILED,     /* it is listed and did not reply to its owner */
    LEFT,       /* it has left the list, as the host that inquires knows */
    LEFT_OTHER, /* the same, as the other host knows */
    STATE_COUNT
} state_t;

typedef enum content_t {
    NOTHING, /* not of the engine that began the stream: it keeps the prompt */
    PROMPT,  /* of a run that was broken off, or of another request of the session */
    MORE,    /* and more events than the caller has: a run that went on, or a whole response to another request */
    EVENTS,  /* and the events that the caller has: only of the engine that began the stream */
    RUN,     /* it runs the request: since then, or since an attempt that was given up */
    CONTENT_COUNT
} content_t;

typedef struct engine_t {
    uint32_t version; /* 1 or 2 */
    uint32_t owner;   /* host that queries it; 0: the one that inquires */
    state_t state;
    content_t content;
} engine_t;

typedef struct world_t {
    engine_t engines[ENGINES];
    bool may_have_left;      /* engines may have left that nobody has seen */
    uint32_t unseen_version; /* of such an engine, which began the stream; 0: the first of the engines did */
} world_t;

/* -- worlds ---------------------------------------------------------------- */

#define ENGINE_NUMBERS (VERSIONS * HOSTS * STATE_COUNT * CONTENT_COUNT)
#define BEGINNINGS (1 + 1 + VERSIONS) /* seen, nothing missed; seen; not seen: of either version */
#define WORLD_NUMBERS (BEGINNINGS * ENGINE_NUMBERS * ENGINE_NUMBERS * ENGINE_NUMBERS)

static engine_t make_engine(uint32_t number) {
    engine_t e;
    e.version = 1 + number % VERSIONS;
    number /= VERSIONS;
    e.owner = number % HOSTS;
    number /= HOSTS;
    e.state = (state_t)(number % STATE_COUNT);
    e.content = (content_t)(number / STATE_COUNT);
    return e;
}

static bool is_possible(const engine_t* e, bool has_begun) {
    bool is_ordered = e->state == ASKED || (e->content == PROMPT && e->owner == 0); /* else it makes no difference */
    bool has_content = has_begun ? e->content != NOTHING : e->content != EVENTS;
    return is_ordered && has_content;
}

/* What worlds may have, beside whole responses to other requests of the session while no engine has left. */
typedef enum domain_t {
    PLAIN = 0,
    TURNS = 1,    /* such responses after engines have left */
    GIVEN_UP = 2, /* attempts that were given up before their first event and run on */
} domain_t;

static bool has_other(const world_t* w, content_t content) {
    bool has_other = false;
    for (uint32_t i = w->unseen_version ? 0 : 1; i < ENGINES; i++) {
        has_other = has_other || w->engines[i].content == content;
    }
    return has_other;
}

static bool has_departure(const world_t* w) {
    bool has_departure = w->may_have_left;
    for (uint32_t i = 0; i < ENGINES; i++) {
        has_departure = has_departure || w->engines[i].state >= LEFT;
    }
    return has_departure;
}

static bool make_world(uint32_t domain, uint32_t number, world_t* w) {
    bool is_valid = true;
    w->may_have_left = number % BEGINNINGS > 0;
    w->unseen_version = w->may_have_left ? number % BEGINNINGS - 1 : 0;
    number /= BEGINNINGS;
    for (uint32_t i = 0; i < ENGINES; i++) {
        w->engines[i] = make_engine(number % ENGINE_NUMBERS);
        number /= ENGINE_NUMBERS;
        is_valid = is_valid && is_possible(&w->engines[i], i == 0 && !w->unseen_version);
    }
    return is_valid && ((domain & TURNS) || !has_other(w, MORE) || !has_departure(w)) &&
           ((domain & GIVEN_UP) || !has_other(w, RUN));
}

/* -- what the hosts know together ------------------------------------------ */

static uint32_t observed_kind(const engine_t* e) {
    bool is_left = e->state == LEFT || e->state == LEFT_OTHER;
    return e->state == ASKED ? (uint32_t)e->content : is_left ? CONTENT_COUNT : CONTENT_COUNT + 1;
}

#define OBSERVED_KINDS (CONTENT_COUNT + 2)
#define OBSERVED_ENGINES (VERSIONS * OBSERVED_KINDS)
#define OBSERVATIONS (2U * OBSERVED_ENGINES * OBSERVED_ENGINES * OBSERVED_ENGINES)

static uint32_t observed_engine(const engine_t* e) {
    return (e->version - 1) * OBSERVED_KINDS + observed_kind(e);
}

static int compare_numbers(const void* left, const void* right) {
    return (int)*(const uint32_t*)left - (int)*(const uint32_t*)right;
}

/* Number of what is known. Two worlds with the same number can't be told apart. */
static uint32_t observe(const world_t* w) {
    uint32_t engines[ENGINES];
    uint32_t number = w->may_have_left;
    for (uint32_t i = 0; i < ENGINES; i++) {
        engines[i] = observed_engine(&w->engines[i]);
    }
    qsort(engines, ENGINES, sizeof(*engines), compare_numbers);
    for (uint32_t i = 0; i < ENGINES; i++) {
        number = number * OBSERVED_ENGINES + engines[i];
    }
    return number;
}

/* -- what they conclude ---------------------------------------------------- */

static bool shows(const engine_t* e, cw_stream_question_t question) {
    static const bool shown[CONTENT_COUNT][CW_STREAM_QUESTION_COUNT] = {
        [PROMPT] = {[CW_STREAM_PROMPT] = true},
        [EVENTS] = {[CW_STREAM_PROMPT] = true, [CW_STREAM_EVENTS] = true, [CW_STREAM_AT_LEAST] = true},
        [MORE] = {[CW_STREAM_PROMPT] = true, [CW_STREAM_AT_LEAST] = true},
        [RUN] = {[CW_STREAM_PROMPT] = true, [CW_STREAM_RUN] = true}};
    return shown[e->content][question];
}

static void name_version(cw_stream_versions_t* v, uint32_t version) {
    v->is_several = v->is_several || (v->version && v->version != version);
    v->version = version;
}

static cw_stream_findings_t find(const world_t* w, uint32_t host, cw_stream_question_t question) {
    cw_stream_findings_t f = {.is_open = false};
    for (uint32_t i = 0; i < ENGINES; i++) {
        const engine_t* e = &w->engines[i];
        if (e->state == (host ? LEFT_OTHER : LEFT)) {
            name_version(&f.left, e->version);
        } else if (e->owner == host && e->state == FAILED) {
            name_version(&f.unqueried, e->version);
        } else if (e->owner == host && e->state == ASKED && shows(e, question)) {
            name_version(&f.found, e->version);
        }
    }
    return f;
}

static uint64_t conclude(const world_t* w) {
    cw_stream_inquiry_t q;
    cw_stream_inquiry_begin(&q, 0);
    uint32_t round = cw_stream_inquiry_next_round(&q);
    cw_stream_audience_t audience = {.hosts = 1};
    for (uint32_t question = 0; question < CW_STREAM_QUESTION_COUNT; question++) {
        cw_stream_audience_add(&audience, 1, question);
    }
    cw_stream_inquiry_on_round(&q, 0, &audience);
    q.may_have_left = w->may_have_left;
    for (uint32_t question = 0; question < CW_STREAM_QUESTION_COUNT; question++) {
        for (uint32_t host = 0; host < HOSTS; host++) {
            const cw_stream_findings_t f = find(w, host, question);
            cw_stream_reply_t reply = cw_stream_reply_make(&f);
            reply.round = round;
            reply.host = host;
            if (host) {
                cw_stream_inquiry_on_reply(&q, question, &reply);
            } else {
                cw_stream_inquiry_on_own(&q, question, &reply);
            }
        }
    }
    ck_assert(cw_stream_inquiry_is_decided(&q, 0));
    return cw_stream_inquiry_version(&q);
}

/* -- tests ----------------------------------------------------------------- */

typedef struct tally_t {
    uint32_t worlds, wrong, refused;
    world_t first_wrong, first_refused;
} tally_t;

static uint8_t possible[OBSERVATIONS]; /* versions that may have begun the stream, a bit each */

static uint32_t begun_version(const world_t* w) {
    return w->unseen_version ? w->unseen_version : w->engines[0].version;
}

static void collect_possible(uint32_t domain) {
    memset(possible, 0, sizeof(possible));
    world_t w;
    for (uint32_t i = 0; i < WORLD_NUMBERS; i++) {
        if (make_world(domain, i, &w)) {
            possible[observe(&w)] |= 1U << begun_version(&w);
        }
    }
}

/* Whether engines that were asked have something of the stream, and those that have more than its prompt are of one
   version. */
static bool is_shown(const world_t* w) {
    uint32_t prompts = 0;
    uint32_t proofs = 0;
    for (uint32_t i = 0; i < ENGINES; i++) {
        const engine_t* e = &w->engines[i];
        prompts |= e->state == ASKED && e->content != NOTHING ? e->version : 0;
        proofs |= e->state == ASKED && e->content > PROMPT ? e->version : 0;
    }
    return prompts && proofs <= VERSIONS;
}

static tally_t play_all(uint32_t domain) {
    tally_t t = {0};
    world_t w;
    for (uint32_t i = 0; i < WORLD_NUMBERS; i++) {
        if (!make_world(domain, i, &w)) {
            continue;
        }
        uint64_t version = conclude(&w);
        uint8_t versions = possible[observe(&w)];
        bool is_wrong = version && versions != 1U << version;
        bool is_refused = !version && is_shown(&w) && versions == 1U << begun_version(&w);
        t.first_wrong = is_wrong && !t.wrong ? w : t.first_wrong;
        t.first_refused = is_refused && !t.refused ? w : t.first_refused;
        t.worlds++;
        t.wrong += is_wrong;
        t.refused += is_refused;
    }
    return t;
}

static const char* describe(const world_t* w, char out[256]) {
    static const char* const states[] = {"asked", "failed", "left", "left (other)"};
    static const char* const contents[] = {"nothing", "prompt", "more", "events", "run"};
    int size = snprintf(out, 256, "may_have_left=%d unseen=v%u", w->may_have_left, w->unseen_version);
    for (uint32_t i = 0; i < ENGINES; i++) {
        const engine_t* e = &w->engines[i];
        size += snprintf(out + size, 256 - (size_t)size, ", v%u of host %u %s: %s", e->version, e->owner,
                         states[e->state], contents[e->content]);
    }
    return out;
}

static tally_t play_domain(uint32_t domain) {
    collect_possible(domain);
    return play_all(domain);
}

static void check_none_is_wrong(uint32_t domain) {
    char text[256];
    tally_t t = play_domain(domain);
    ck_assert_msg(!t.wrong, "%u of %u worlds; the first: %s", t.wrong, t.worlds, describe(&t.first_wrong, text));
}

START_TEST(no_version_is_concluded_where_another_may_have_begun_the_stream) {
    check_none_is_wrong(PLAIN);
}
END_TEST

START_TEST(a_version_is_concluded_wherever_only_one_may_have_begun_the_stream) {
    char text[256];
    tally_t t = play_domain(TURNS | GIVEN_UP);
    ck_assert_msg(!t.refused, "%u of %u worlds; the first: %s", t.refused, t.worlds, describe(&t.first_refused, text));
}
END_TEST

/* A whole response to another request of the session looks like a run that went on after its hosts were lost. */
START_TEST(no_version_is_concluded_from_a_whole_response_after_engines_have_left) {
    check_none_is_wrong(TURNS);
}
END_TEST

/* Such a run looks like that of the stream. */
START_TEST(no_version_is_concluded_from_a_run_that_was_given_up) {
    check_none_is_wrong(GIVEN_UP);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, no_version_is_concluded_where_another_may_have_begun_the_stream);
    tcase_add_test(t, a_version_is_concluded_wherever_only_one_may_have_begun_the_stream);
    tcase_add_test(t, no_version_is_concluded_from_a_whole_response_after_engines_have_left);
    tcase_add_test(t, no_version_is_concluded_from_a_run_that_was_given_up);
}

int main(void) {
    return run_suite("version_proof", add_tests, 30);
}
