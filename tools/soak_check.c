/* Checks the record of a soak, as seen by callers and upstreams. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_map.h"
#include "soak.h"
#include "soak_pushback.h"
#include "soak_qod.h"
#include "soak_streams.h"

#define MAX_REQUESTS 200000
#define MAX_SERVERS 1024
#define FAULTS_AT_FIRST 1024 /* room that grows as needed */
#define MAX_HOSTS 128
#define NAME_SIZE 32
#define SETTLE_MS 4000              /* after the end of a fault, until a period counts as calm */
#define IDLE_SHARE_MIN 0.25         /* with this share of idle engines a refused request could have begun at once */
#define INVERSION_WINDOW_MS 5000    /* window in which refusals of a kind are compared with less urgent requests */
#define INVERSION_REFUSALS_MIN 10   /* fewer refusals in a window prove nothing */
#define INVERSION_REFUSED_ONE_IN 12 /* a violation needs more than 1/12 of the kind's requests refused */
#define INVERSION_SIZE_RATIO 2      /* ratio of the mean prompt that began to the mean prompt that was refused */
#define LEAVING_SLACK_MS 1000 /* beyond the drain time: polling, propagation and scheduling delays of the machine */
#define STRAIN_FALLS_MIN 2    /* falls in one strain that are tolerated, besides one in ten of the upstreams */
#define STRAIN_FALLS_ONE_IN 10
#define TAKE_UP_SERVERS_MIN 2   /* upstreams of its version in service, for a stream to count as taken up */
#define CANCEL_SLACK_MS 500     /* after a caller abandoned its request: time for upstreams to stop running it */
#define RECOVERY_SHARE_MIN 0.9  /* share of the requests sent in calm periods that must be served */
#define STOP_SLACK_MS 1500      /* time that a host may take to exit, beyond the grace time on stop */
#define SIGNAL_EXIT_BASE 128    /* a greater exit code is this plus the signal that killed the process */
#define PROGRAM_LOAD_MS 100     /* after a start: the program may not be loaded yet, so that any signal kills it */
#define MACHINE_TARGET "-"      /* target of faults that belong to no single process, such as of the machine */
#define MACHINE_PAUSE "machine" /* name of a fault: the machine ran no process for a while */
#define SILENCE "silent"        /* name of a fault: a sound upstream is stopped for a while */
#define DEADLINE_MARGIN_MS 300  /* a response that ends less than this before its deadline may have run out of time */
#define FAULT_MARGIN_MS 1000    /* after a fault of a request's server: a lost response is attributed to it */

const soak_kind_t soak_kinds[SOAK_KINDS] = {
    {"short", "/short/", "stream", true, 0, 250, 8000, 400, 1600, 10, 0.3},
    {"medium", "/medium/", "stream", false, 1, 400, 3000, 800, 7400, 3, 0.22},
    {"long", "/long/", "stream", false, 2, 2000, 10000, 4000, 60000, 12, 0.08},
    {"story", "/story/", "stream", true, 1, 400, 9000, 400, 1600, 800, 0.2},
    {"call", "/call/", "once", false, 2, 300, 1500, 0, 0, 0, 0.1},
    {"get", "/get/", "repeatable", false, 2, 300, 1500, 0, 0, 0, 0.1},
};

int soak_find_kind(const char* name) {
    for (int i = 0; i < SOAK_KINDS; i++) {
        if (strcmp(soak_kinds[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

typedef struct request_t {
    char id[NAME_SIZE];
    int kind;
    char host[NAME_SIZE];
    uint32_t tokens;
    int64_t sent_ms, done_ms, abandoned_ms; /* 0: not yet */
    uint32_t status, begin_count;
    bool is_complete, is_correct, is_quarantined;
    uint32_t first; /* index of the request that began its stream: itself, unless it resumes one */
    bool is_resumption, has_events;
    soak_stream_t stream;     /* of a request that began one: over all requests for it */
    soak_take_ups_t* take_up; /* of a request that began a stream: where the stream counts, NULL: it was not taken up */
    uint32_t resumption_count, refusal_count;
    bool has_gone_on, has_complete_end;
    soak_qod_body_t* qod_body; /* NULL: an ordinary request */
    bool has_crashed_upstream; /* a query of death: it crashed at least one */
    int64_t begin_ms, end_ms;
    char last_server[NAME_SIZE]; /* server that last began to run the request */
    bool is_running;             /* there, as far as is known */
    uint32_t ended_servers;      /* of a request that began a stream: servers that ended while they ran it */
    uint32_t ended_before;       /* of any: how many of its stream had ended when its response did */
    bool has_lost_server;        /* a fault but silence had hit the server of an earlier attempt */
    bool lacks_version;          /* no upstream could go on with its stream when the response ended */
    double idle_engine_share;    /* share of idle engines when the request was sent */
    bool is_calm;                /* sent in a calm period */
} request_t;

typedef struct server_record_t {
    char id[NAME_SIZE];
    uint32_t slots, running;
    uint32_t version; /* of its software, 0: unknown */
    bool is_down;
    int64_t leaving_ms;    /* since when the server is published as leaving, 0: it is not */
    uint32_t left_version; /* version that it had when it last went down or began to leave, 0: never */
    int64_t left_ms;       /* time of that */
    uint32_t incarnations; /* number of starts of the server */
} server_record_t;

typedef struct fault_t {
    char name[NAME_SIZE], target[NAME_SIZE];
    int64_t from_ms, to_ms; /* to_ms 0: still active */
    uint32_t falls;         /* of a strain: upstreams that ended by rejections */
} fault_t;

/* A host and its last start. */
typedef struct host_record_t {
    char name[NAME_SIZE];
    int64_t started_ms;
    bool is_running;
} host_record_t;

typedef struct checker_t {
    soak_result_t result;
    cw_map_t by_id;
    request_t* requests;
    uint32_t count;
    server_record_t servers[MAX_SERVERS];
    uint32_t server_count;
    host_record_t hosts[MAX_HOSTS];
    uint32_t host_count;
    fault_t* faults;
    uint32_t fault_count, fault_capacity;
    uint32_t grace_ms, drain_ms;
    int64_t finish_ms;
    int64_t hosts_lost_ms; /* last moment at which no host was left, 0: never */
    soak_qod_t queries_of_death;
    soak_pushback_t* pushback;
} checker_t;

const char* soak_check_name(soak_check_t check) {
    static const char* const names[SOAK_CHECK_COUNT] = {
        "twice",       "refused-and-run", "mixed",     "lost",          "refused-idle",
        "put-behind",  "sent-to-left",    "worked-on", "stop",          "recovery",
        "deadly",      "shut-out",        "rate",      "rest",          "fell",
        "versions",    "told-left",       "silence",   "missing-event", "event-twice",
        "event-order", "runs-joined",     "early-end"};
    return names[check];
}

uint32_t soak_check_allowed(soak_check_t check) {
    static const uint32_t allowed[SOAK_CHECK_COUNT] = {[SOAK_RAN_AFTER_CANCEL] = 5};
    return allowed[check];
}

static void add_finding(checker_t* c, soak_check_t check, int64_t at_ms, const char* what, const char* who) {
    if (!c->result.count[check]++) {
        snprintf(c->result.first_finding[check], sizeof(c->result.first_finding[check]), "%s, %s at %" PRId64 " ms",
                 what, who, at_ms);
    }
}

static request_t* find_request(checker_t* c, const char* id) {
    uint32_t at = cw_map_get(&c->by_id, cw_name_id(id));
    return at == CW_MAP_NONE ? NULL : &c->requests[at];
}

static server_record_t* find_server(checker_t* c, const char* id) {
    for (uint32_t i = 0; i < c->server_count; i++) {
        if (strcmp(c->servers[i].id, id) == 0) {
            return &c->servers[i];
        }
    }
    return NULL;
}

/* Returns whether a fault of the target, or of any target if NULL, is active at at_ms or ended less than after_ms
   before. The silence of a sound server is no reason to lose anything there. */
static bool is_disturbed(const checker_t* c, int64_t at_ms, const char* target, int64_t after_ms) {
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool is_match = !target || (strcmp(f->target, target) == 0 && strcmp(f->name, SILENCE) != 0);
        if (is_match && f->from_ms <= at_ms && (!f->to_ms || at_ms < f->to_ms + after_ms)) {
            return true;
        }
    }
    return false;
}

static bool is_source_fault(const fault_t* f) {
    static const char prefix[] = "source-";
    return strncmp(f->name, prefix, sizeof(prefix) - 1) == 0;
}

/* Returns whether a fault of the configuration source, or of the machine, may have kept hosts at at_ms from knowing
   what was published at since_ms. */
static bool was_propagation_disturbed(const checker_t* c, int64_t since_ms, int64_t at_ms, int64_t leaving_grace_ms) {
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool is_match = is_source_fault(f) || strcmp(f->name, MACHINE_PAUSE) == 0;
        if (is_match && f->from_ms <= since_ms + leaving_grace_ms &&
            (!f->to_ms || f->to_ms + leaving_grace_ms > at_ms)) {
            return true;
        }
    }
    return false;
}

/* -- parsing -------------------------------------------------------------- */

/* Share of idle engines among those that accept new requests. */
static double idle_share(const checker_t* c) {
    uint32_t engines = 0;
    uint32_t idle_count = 0;
    for (uint32_t i = 0; i < c->server_count; i++) {
        const server_record_t* s = &c->servers[i];
        bool is_available = s->slots && !s->is_down && !s->leaving_ms;
        engines += is_available;
        idle_count += is_available && !s->running;
    }
    return engines ? (double)idle_count / engines : 0;
}

/* Returns whether an upstream of the version accepted new requests within the last moments. */
static bool has_served_lately(const checker_t* c, uint32_t version, int64_t at_ms) {
    for (uint32_t i = 0; i < c->server_count; i++) {
        const server_record_t* s = &c->servers[i];
        bool is_available = s->version == version && !s->is_down && !s->leaving_ms;
        bool was_available = s->left_version == version && at_ms - s->left_ms <= FAULT_MARGIN_MS;
        if (s->slots && (is_available || was_available)) {
            return true;
        }
    }
    return false;
}

/* Returns whether the request began a stream while hosts ran that have all been lost since. */
static bool was_followed_by_loss(const checker_t* c, const request_t* r) {
    return c->hosts_lost_ms >= r->sent_ms && c->hosts_lost_ms > 0;
}

/* A caller takes up a stream for the first time: counts it if two upstreams of its version accept new requests. */
static void handle_take_up(checker_t* c, request_t* first) {
    uint32_t version = first->stream.first_run.version;
    uint32_t available_count = 0;
    bool has_others = false;
    for (uint32_t i = 0; i < c->server_count; i++) {
        const server_record_t* s = &c->servers[i];
        bool is_engine = s->slots && !s->is_down;
        available_count += is_engine && s->version == version && !s->leaving_ms;
        has_others = has_others || (is_engine && s->version != version);
    }
    if (version && available_count >= TAKE_UP_SERVERS_MIN) {
        first->take_up = &c->result.take_ups[was_followed_by_loss(c, first)][has_others];
    }
}

static void handle_sent(checker_t* c, int64_t at_ms, const char* fields) {
    char kind[NAME_SIZE] = "";
    char body[NAME_SIZE] = "-";
    char resumes[NAME_SIZE] = "";
    if (c->count == MAX_REQUESTS) {
        return;
    }
    request_t* r = &c->requests[c->count];
    *r = (request_t){.sent_ms = at_ms, .first = c->count, .idle_engine_share = idle_share(c)};
    if (sscanf(fields, "%31s %31s %31s %u %31s %31s", r->id, kind, r->host, &r->tokens, body, resumes) >= 4) {
        request_t* first = resumes[0] ? find_request(c, resumes) : NULL;
        r->is_resumption = resumes[0] != 0;
        r->kind = soak_find_kind(kind);
        r->is_calm = !is_disturbed(c, at_ms, NULL, SETTLE_MS);
        cw_map_put(&c->by_id, cw_name_id(r->id), c->count++);
        r->qod_body = strcmp(body, "-") != 0 ? soak_qod_find_or_add(&c->queries_of_death, body) : NULL;
        if (r->qod_body) {
            r->qod_body->sent++;
        } else {
            c->result.sent++;
        }
        if (first) {
            r->first = first->first;
            if (!first->resumption_count++) {
                handle_take_up(c, first);
            }
        }
    }
}

static void add_stream_findings(checker_t* c, uint32_t violations, int64_t at_ms, const request_t* r) {
    for (uint32_t i = 0; i < SOAK_CHECK_COUNT; i++) {
        if (violations >> i & 1U) {
            add_finding(c, (soak_check_t)i, at_ms, r->id, soak_kinds[r->kind].name);
        }
    }
}

static void handle_events(checker_t* c, int64_t at_ms, request_t* r, const char* fields) {
    soak_run_t run = {.version = 0};
    uint32_t from = 0;
    uint32_t to = 0;
    request_t* first = &c->requests[r->first];
    if (sscanf(fields, "%*s %u %u %u %31s %u", &from, &to, &run.version, run.name, &run.after) == 5) {
        uint32_t violations = soak_stream_add(&first->stream, &run, from, to, soak_kinds[r->kind].is_resumable);
        add_stream_findings(c, violations, at_ms, r);
        r->has_events = true;
    }
}

static bool was_refused(const request_t* r);

static void handle_caller(checker_t* c, int64_t at_ms, const char* what, const char* fields) {
    char id[NAME_SIZE] = "";
    if (strcmp(what, "sent") == 0) {
        handle_sent(c, at_ms, fields);
        return;
    }
    sscanf(fields, "%31s", id);
    request_t* r = find_request(c, id);
    if (!r) {
        return;
    }
    if (strcmp(what, "events") == 0) {
        handle_events(c, at_ms, r, fields);
        return;
    }
    if (strcmp(what, "left") == 0) {
        r->abandoned_ms = at_ms;
        return;
    }
    uint32_t is_complete = 0;
    uint32_t is_correct = 0;
    uint32_t is_quarantined = 0;
    sscanf(fields, "%*s %u %u %u %*u %u", &r->status, &is_complete, &is_correct, &is_quarantined);
    r->done_ms = at_ms;
    r->is_complete = is_complete;
    r->is_correct = is_correct;
    r->is_quarantined = is_quarantined;
    request_t* first = &c->requests[r->first];
    r->ended_before = first->ended_servers;
    uint32_t version = first->stream.first_run.version;
    r->lacks_version = soak_kinds[r->kind].is_resumable && version && !has_served_lately(c, version, at_ms);
    first->has_complete_end = first->has_complete_end || (r->status == 200 && r->is_complete);
    if (r->is_resumption) {
        first->refusal_count += was_refused(r);
        first->has_gone_on = first->has_gone_on || r->has_events || (r->status == 200 && r->is_complete);
    }
}

static void handle_begin(checker_t* c, int64_t at_ms, request_t* r, server_record_t* s) {
    r->has_lost_server =
        r->has_lost_server || (r->begin_count && is_disturbed(c, at_ms, r->last_server, FAULT_MARGIN_MS));
    r->begin_count++;
    r->begin_ms = at_ms;
    r->end_ms = 0;
    r->is_running = true;
    cw_copy(r->last_server, sizeof(r->last_server), s->id);
    s->running++;
    int64_t leaving_grace_ms = c->drain_ms + LEAVING_SLACK_MS;
    bool is_late = s->leaving_ms && r->sent_ms > s->leaving_ms + leaving_grace_ms;
    if (is_late && !was_propagation_disturbed(c, s->leaving_ms, at_ms, leaving_grace_ms)) {
        add_finding(c, SOAK_SENT_TO_LEAVING, at_ms, r->id, s->id);
    }
}

static void handle_fault(checker_t* c, int64_t at_ms, bool begins, const char* name, const char* target);

static host_record_t* find_or_add_host(checker_t* c, const char* name);

/* Returns since when the host may know its configuration: since its last start, or since the end of an outage of the
   source in which all hosts were lost, as nobody else could tell. A host that lacks it serves nothing. */
static int64_t configured_since(const checker_t* c, const host_record_t* h) {
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool covers_loss = f->from_ms <= c->hosts_lost_ms && c->hosts_lost_ms <= h->started_ms;
        if (covers_loss && strcmp(f->name, "source-down") == 0 && (!f->to_ms || f->to_ms > h->started_ms)) {
            return f->to_ms ? f->to_ms : INT64_MAX;
        }
    }
    return h->started_ms;
}

/* Returns whether the host may lack state that the other hosts have, since it has just started, or was stopped, killed
   or frozen. When all hosts are lost at once, none has that state. */
static bool may_lack_state(checker_t* c, int64_t at_ms, const char* host) {
    const host_record_t* h = find_or_add_host(c, host);
    bool is_recent = h && h->started_ms && at_ms - configured_since(c, h) < SOAK_QOD_PROPAGATION_MS;
    return is_recent || is_disturbed(c, at_ms, host, SOAK_QOD_PROPAGATION_MS);
}

/* A query of death arrived at an upstream, or crashed it. A crash counts as a fault until the soak has restarted the
   upstream. */
static void handle_query_of_death(checker_t* c, int64_t at_ms, const char* what, request_t* r, const char* server) {
    soak_qod_body_t* body = r->qod_body;
    if (strcmp(what, "reach") == 0) {
        if (!may_lack_state(c, at_ms, r->host)) {
            soak_qod_on_arrival(body, at_ms);
        }
        return;
    }
    r->has_crashed_upstream = true;
    soak_qod_on_crash(body, at_ms);
    handle_fault(c, at_ms, true, "died", server);
}

static uint64_t incarnation_key(const server_record_t* s) {
    return cw_mix(cw_name_id(s->id), s->incarnations);
}

/* Returns whether the upstream was frozen shortly before. Requests that arrive at a frozen upstream are recorded
   only when it runs again. */
static bool was_frozen(const checker_t* c, int64_t at_ms, const char* server) {
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool is_frozen = strcmp(f->name, "freeze") == 0 || strcmp(f->name, SILENCE) == 0;
        bool is_match = is_frozen && strcmp(f->target, server) == 0;
        if (is_match && (!f->to_ms || at_ms < f->to_ms + SOAK_PUSHBACK_WINDOW_MS)) {
            return true;
        }
    }
    return false;
}

static void handle_arrival(checker_t* c, int64_t at_ms, const request_t* r, const server_record_t* s) {
    bool is_excused = may_lack_state(c, at_ms, r->host) || was_frozen(c, at_ms, s->id) ||
                      is_disturbed(c, at_ms, MACHINE_TARGET, SOAK_PUSHBACK_WINDOW_MS);
    soak_pushback_add_arrival(c->pushback, &(soak_arrival_t){.at_ms = at_ms,
                                                             .sent_ms = r->sent_ms,
                                                             .server = incarnation_key(s),
                                                             .host = cw_name_id(r->host),
                                                             .is_excused = is_excused});
}

/* Handles an event about arrivals and server pushback. Returns false for events of other kinds. */
static bool handle_pushback(checker_t* c, int64_t at_ms, const char* what, const request_t* r, const server_record_t* s,
                            double value) {
    static const char* const event_names[] = {"named", "away", "parts"}; /* indexed by soak_pushback_kind_t */
    if (strcmp(what, "rate") == 0) {
        soak_pushback_set_rate(c->pushback, at_ms, incarnation_key(s), value);
        return true;
    }
    if (strcmp(what, "came") == 0) {
        if (r) {
            handle_arrival(c, at_ms, r, s);
        }
        return true;
    }
    for (uint32_t kind = 0; kind < sizeof(event_names) / sizeof(*event_names); kind++) {
        if (strcmp(what, event_names[kind]) == 0) {
            soak_pushback_add_signal(c->pushback, &(soak_pushback_signal_t){.kind = (soak_pushback_kind_t)kind,
                                                                            .at_ms = at_ms,
                                                                            .server = incarnation_key(s),
                                                                            .host = r ? cw_name_id(r->host) : 0,
                                                                            .backoff_ms = (uint32_t)value});
            return true;
        }
    }
    return false;
}

/* An upstream under strain ended by rejections: counts it to the strain that began last. */
static void handle_fall(checker_t* c, int64_t at_ms, const char* server) {
    fault_t* strain = NULL;
    for (uint32_t i = 0; i < c->fault_count; i++) {
        fault_t* f = &c->faults[i];
        bool is_active = f->from_ms <= at_ms && (!f->to_ms || at_ms <= f->to_ms);
        strain = is_active && strcmp(f->name, "strain") == 0 ? f : strain;
    }
    uint32_t allowed = STRAIN_FALLS_MIN + c->server_count / STRAIN_FALLS_ONE_IN;
    if (strain && ++strain->falls > allowed) {
        add_finding(c, SOAK_FELL_UNDER_STRAIN, at_ms, "too many upstreams fell over", server);
    }
}

static void handle_upstream(checker_t* c, int64_t at_ms, const char* what, const char* fields) {
    char id[NAME_SIZE] = "";
    char server[NAME_SIZE] = "";
    double value = 0;
    sscanf(fields, "%31s %31s %lf", id, server, &value);
    request_t* r = find_request(c, id);
    server_record_t* s = find_server(c, server);
    if (strcmp(what, "fell") == 0) {
        handle_fall(c, at_ms, server);
        return;
    }
    if (!s || handle_pushback(c, at_ms, what, r, s, value) || !r) {
        return;
    }
    if (r->qod_body && (strcmp(what, "reach") == 0 || strcmp(what, "died") == 0)) {
        handle_query_of_death(c, at_ms, what, r, server);
        return;
    }
    if (strcmp(what, "begin") == 0) {
        handle_begin(c, at_ms, r, s);
        return;
    }
    s->running -= s->running > 0;
    r->end_ms = at_ms;
    r->is_running = false;
}

/* Counts the end of a server for each request that it ran, over all requests for the same stream. */
static void count_ended_server(checker_t* c, const char* server) {
    for (uint32_t i = 0; i < c->count; i++) {
        request_t* r = &c->requests[i];
        if (r->is_running && strcmp(r->last_server, server) == 0) {
            r->is_running = false;
            c->requests[r->first].ended_servers++;
        }
    }
}

static void handle_server(checker_t* c, int64_t at_ms, const char* what, const char* id, uint32_t slots,
                          uint32_t version) {
    server_record_t* s = find_server(c, id);
    if (!s && c->server_count < MAX_SERVERS) {
        s = &c->servers[c->server_count++];
        *s = (server_record_t){.slots = slots};
        cw_copy(s->id, sizeof(s->id), id);
    }
    if (s && !s->is_down && !s->leaving_ms && s->version) {
        s->left_version = s->version;
        s->left_ms = at_ms;
    }
    if (s && strcmp(what, "up") == 0) { /* a restarted server runs none of its earlier requests */
        s->is_down = false;
        s->version = version;
        s->incarnations++;
        s->running = 0;
        s->leaving_ms = 0;
    }
    if (s && strcmp(what, "leaves") == 0) {
        s->leaving_ms = at_ms;
    } else if (s && strcmp(what, "down") == 0) {
        s->is_down = true;
        count_ended_server(c, id);
    }
}

static void reserve_fault(checker_t* c) {
    if (c->fault_count < c->fault_capacity) {
        return;
    }
    uint32_t capacity = c->fault_capacity ? 2 * c->fault_capacity : FAULTS_AT_FIRST;
    fault_t* faults = cw_alloc(NULL, capacity, sizeof(*faults));
    if (c->faults) {
        memcpy(faults, c->faults, c->fault_count * sizeof(*faults));
    }
    free(c->faults);
    c->faults = faults;
    c->fault_capacity = capacity;
}

static void handle_fault(checker_t* c, int64_t at_ms, bool begins, const char* name, const char* target) {
    if (begins) {
        reserve_fault(c);
        fault_t* f = &c->faults[c->fault_count++];
        *f = (fault_t){.from_ms = at_ms};
        cw_copy(f->name, sizeof(f->name), name);
        cw_copy(f->target, sizeof(f->target), target);
        return;
    }
    for (uint32_t i = 0; i < c->fault_count; i++) {
        fault_t* f = &c->faults[i];
        if (!f->to_ms && strcmp(f->name, name) == 0 && strcmp(f->target, target) == 0) {
            f->to_ms = at_ms;
            return;
        }
    }
}

static host_record_t* find_or_add_host(checker_t* c, const char* name) {
    for (uint32_t i = 0; i < c->host_count; i++) {
        if (strcmp(c->hosts[i].name, name) == 0) {
            return &c->hosts[i];
        }
    }
    if (c->host_count == MAX_HOSTS) {
        return NULL;
    }
    host_record_t* h = &c->hosts[c->host_count++];
    *h = (host_record_t){0};
    cw_copy(h->name, sizeof(h->name), name);
    return h;
}

static void handle_host_start(checker_t* c, int64_t at_ms, const char* name) {
    host_record_t* h = find_or_add_host(c, name);
    if (h) {
        h->started_ms = at_ms;
        h->is_running = true;
    }
}

/* Notes that a host's process has ended, and whether it was the last one. */
static void handle_host_end(checker_t* c, int64_t at_ms, const char* name) {
    host_record_t* ended = find_or_add_host(c, name);
    if (!ended || !ended->is_running) {
        return;
    }
    ended->is_running = false;
    for (uint32_t i = 0; i < c->host_count; i++) {
        if (c->hosts[i].is_running) {
            return;
        }
    }
    c->hosts_lost_ms = at_ms;
    c->result.host_losses += !c->finish_ms;
}

/* Returns the active fault of this name at the host, or NULL. */
static const fault_t* find_open_fault(const checker_t* c, const char* name, const char* host) {
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        if (!f->to_ms && strcmp(f->name, name) == 0 && strcmp(f->target, host) == 0) {
            return f;
        }
    }
    return NULL;
}

/* Returns whether a fault began so soon after the host's last start that its signal may have arrived before the program
   was loaded. The time of the exit proves nothing, since the machine may schedule the process late. */
static bool was_signalled_while_loading(const checker_t* c, const char* host, int64_t started_ms) {
    for (uint32_t i = 0; i < c->fault_count && started_ms; i++) {
        const fault_t* f = &c->faults[i];
        int64_t since_ms = f->from_ms - started_ms;
        if (strcmp(f->target, host) == 0 && since_ms >= 0 && since_ms < PROGRAM_LOAD_MS) {
            return true;
        }
    }
    return false;
}

/* Returns for how long the machine ran no process between two times. */
static int64_t machine_pause_ms(const checker_t* c, int64_t from_ms, int64_t to_ms) {
    int64_t total_ms = 0;
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        int64_t begin_ms = f->from_ms > from_ms ? f->from_ms : from_ms;
        int64_t end_ms = f->to_ms && f->to_ms < to_ms ? f->to_ms : to_ms;
        total_ms += strcmp(f->name, MACHINE_PAUSE) == 0 && end_ms > begin_ms ? end_ms - begin_ms : 0;
    }
    return total_ms;
}

/* A host has exited: killed, stopped as planned, or unexpectedly. */
static void handle_host_exit(checker_t* c, int64_t at_ms, const char* host, int code) {
    const fault_t* stop = find_open_fault(c, "stop", host);
    const host_record_t* h = find_or_add_host(c, host);
    bool was_loading = h && code > SIGNAL_EXIT_BASE && was_signalled_while_loading(c, host, h->started_ms);
    if (find_open_fault(c, "kill", host) || was_loading) {
        return;
    }
    if (!stop) {
        add_finding(c, SOAK_UNCLEAN_EXIT, at_ms, "the host exited unexpectedly", host);
        return;
    }
    int64_t took_ms = at_ms - stop->from_ms - machine_pause_ms(c, stop->from_ms, at_ms);
    if (code != 0 || took_ms > (int64_t)c->grace_ms + STOP_SLACK_MS) {
        add_finding(c, SOAK_UNCLEAN_EXIT, at_ms,
                    code ? "the host did not exit cleanly" : "the host exited after its grace time", host);
    }
}

static void handle_soak(checker_t* c, int64_t at_ms, const char* what, const char* fields) {
    char name[NAME_SIZE] = "-";
    char target[NAME_SIZE] = "-";
    uint32_t version = 0;
    sscanf(fields, "%31s %31s %u", name, target, &version);
    if (strcmp(what, "fault") == 0 || strcmp(what, "over") == 0) {
        handle_fault(c, at_ms, strcmp(what, "fault") == 0, name, target);
    } else if (strcmp(what, "ended") == 0) {
        handle_host_exit(c, at_ms, name, (int)strtol(target, NULL, 10));
        handle_host_end(c, at_ms, name);
    } else if (strcmp(what, "started") == 0) {
        handle_host_start(c, at_ms, name);
    } else if (strcmp(what, "finish") == 0) {
        c->finish_ms = at_ms;
    } else {
        handle_server(c, at_ms, what, name, (uint32_t)strtoul(target, NULL, 10), version);
    }
}

typedef struct line_t {
    int64_t at_ms;
    uint32_t rank;     /* order of events within the same millisecond */
    uint32_t position; /* in the record */
    const char* text;
} line_t;

static int line_compare(const void* lhs, const void* rhs) {
    const line_t* a = lhs;
    const line_t* b = rhs;
    if (a->at_ms != b->at_ms) {
        return a->at_ms < b->at_ms ? -1 : 1;
    }
    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    return (a->position > b->position) - (a->position < b->position);
}

/* Programs flush their lines at different times, and times have a resolution of 1 ms only. Events of the same
   millisecond are therefore ordered by cause: a request is sent before it begins, begins before it ends, and ends
   before its caller gets the response; the same holds for queries of death. */
static uint32_t line_rank(const char* line) {
    static const char* const event_order[] = {"sent", "reach", "begin", "died", "end", "gone", "events", "done"};
    char what[NAME_SIZE] = "";
    sscanf(line, "%*c %*d %31s", what);
    for (uint32_t i = 0; i < sizeof(event_order) / sizeof(event_order[0]); i++) {
        if (strcmp(what, event_order[i]) == 0) {
            return i + 1;
        }
    }
    return 0;
}

/* Returns the lines of the record in order of time. The caller frees them. */
static line_t* sort_lines(const char* record, uint32_t* count) {
    uint32_t capacity = 1;
    for (const char* at = record; *at; at++) {
        capacity += *at == '\n';
    }
    line_t* lines = cw_alloc(NULL, capacity, sizeof(*lines));
    *count = 0;
    for (const char* at = record; at && *at && *count < capacity; at = strchr(at, '\n'), at += at != NULL) {
        lines[*count] = (line_t){.rank = line_rank(at), .position = *count, .text = at};
        if (sscanf(at, "%*c %" SCNd64, &lines[*count].at_ms) == 1) {
            (*count)++;
        }
    }
    qsort(lines, *count, sizeof(*lines), line_compare);
    return lines;
}

static void read_record(checker_t* c, const char* record) {
    uint32_t count = 0;
    line_t* lines = sort_lines(record, &count);
    for (uint32_t i = 0; i < count; i++) {
        char who = 0;
        char what[NAME_SIZE] = "";
        char fields[160] = "";
        char text[240];
        size_t size = strcspn(lines[i].text, "\n");
        cw_copy(text, size + 1 < sizeof(text) ? size + 1 : sizeof(text), lines[i].text);
        if (sscanf(text, "%c %*d %31s %159[^\n]", &who, what, fields) < 2) {
            continue;
        }
        if (who == 'C') {
            handle_caller(c, lines[i].at_ms, what, fields);
        } else if (who == 'U') {
            handle_upstream(c, lines[i].at_ms, what, fields);
        } else {
            handle_soak(c, lines[i].at_ms, what, fields);
        }
    }
    free(lines);
}

/* -- checks --------------------------------------------------------------- */

/* Returns whether the status promises that the request was not run and never will be. */
static bool was_refused(const request_t* r) {
    return r->status == 503 || r->status == 429 || r->status == 408 || r->status == 421;
}

/* Returns whether the request may run only once: its route is not repeatable and its stream cannot be resumed. */
static bool is_at_most_once(const request_t* r) {
    const soak_kind_t* kind = &soak_kinds[r->kind];
    return strcmp(kind->route_kind, "repeatable") != 0 && !kind->is_resumable;
}

/* Returns whether the response ended well before the deadline of its request. */
static bool was_in_time(const request_t* r) {
    return r->done_ms < r->sent_ms + (int64_t)soak_kinds[r->kind].timeout_ms - DEADLINE_MARGIN_MS;
}

/* Returns whether the connection closed without a complete response during a planned stop of the host, although a
   server had begun to run the request. The response of a query of death is lost with the server that it crashed, and
   that of a stream with the last server of its version. */
static bool was_lost_by_stop(const checker_t* c, const request_t* r) {
    bool lacks_response = r->done_ms && !r->abandoned_ms && (!r->status || !r->is_complete) && r->begin_count;
    if (!lacks_response || r->has_crashed_upstream || r->lacks_version || !was_in_time(r) ||
        is_disturbed(c, r->done_ms, r->last_server, FAULT_MARGIN_MS)) {
        return false;
    }
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool is_on_host = strcmp(f->target, r->host) == 0 && f->from_ms <= r->done_ms &&
                          (!f->to_ms || r->done_ms <= f->to_ms) && r->sent_ms >= f->from_ms - (int64_t)c->grace_ms;
        if (is_on_host && strcmp(f->name, "stop") != 0) {
            return false;
        }
    }
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool is_stopping = strcmp(f->name, "stop") == 0 && strcmp(f->target, r->host) == 0 &&
                           f->from_ms <= r->done_ms && (!f->to_ms || r->done_ms <= f->to_ms);
        bool is_near_grace_end = r->done_ms - f->from_ms > (int64_t)c->grace_ms * 5 / 6;
        if (is_stopping && !is_near_grace_end) {
            return true;
        }
    }
    return false;
}

/* Returns whether a fault of this name, or of any name if NULL, hit the target between two times. */
static bool was_hit(const checker_t* c, const char* name, const char* target, int64_t from_ms, int64_t to_ms) {
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool is_match = strcmp(f->target, target) == 0 && (!name || strcmp(f->name, name) == 0);
        if (is_match && f->from_ms <= to_ms && (!f->to_ms || f->to_ms >= from_ms)) {
            return true;
        }
    }
    return false;
}

/* Returns whether the host could go on: nothing hit it but reloads and a stop whose grace time was not nearly over. */
static bool could_host_continue(const checker_t* c, const request_t* r) {
    for (uint32_t i = 0; i < c->fault_count; i++) {
        const fault_t* f = &c->faults[i];
        bool is_active = f->from_ms <= r->done_ms && (!f->to_ms || f->to_ms + FAULT_MARGIN_MS >= r->sent_ms);
        bool is_on_host = strcmp(f->target, r->host) == 0 || strcmp(f->target, MACHINE_TARGET) == 0;
        bool is_stop_in_time = strcmp(f->name, "stop") == 0 && r->done_ms - f->from_ms <= (int64_t)c->grace_ms * 5 / 6;
        if (is_active && is_on_host && !is_stop_in_time && strcmp(f->name, "reload") != 0) {
            return false;
        }
    }
    return true;
}

/* Returns whether the response failed well before its deadline although its server had begun to run the request and was
   merely silent for a while. A query of death may be quarantined at any time, and a stream ends where no server of its
   version is left. */
static bool was_ended_by_silence(const checker_t* c, const request_t* r) {
    bool has_failed = r->done_ms && !r->abandoned_ms && r->begin_count &&
                      (!r->status || !r->is_complete || r->status == 502 || r->status == 504);
    return has_failed && was_in_time(r) && !r->qod_body && !r->has_lost_server && !r->lacks_version &&
           was_hit(c, SILENCE, r->last_server, r->begin_ms, r->done_ms) &&
           !is_disturbed(c, r->done_ms, r->last_server, FAULT_MARGIN_MS) && could_host_continue(c, r);
}

/* Checks how a stream ended over all requests for it, and counts what became of it if it was taken up. */
static void check_stream(checker_t* c, const request_t* first) {
    add_stream_findings(c, soak_stream_end(&first->stream, soak_kinds[first->kind].events, first->has_complete_end),
                        first->sent_ms, first);
    if (first->take_up) {
        first->take_up->count++;
        first->take_up->gone_on += first->has_gone_on;
        first->take_up->refused += !first->has_gone_on && first->refusal_count == first->resumption_count;
    }
}

/* Whether a request that crashes no server was quarantined, although too few servers ended under it to take it for one
   that does. */
static bool was_quarantined_falsely(const request_t* r) {
    return r->is_quarantined && !r->qod_body && r->ended_before < SOAK_QOD_CRASHES_MAX;
}

static void check_request(checker_t* c, const request_t* r) {
    const char* kind = soak_kinds[r->kind].name;
    if (is_at_most_once(r) && r->begin_count > 1) {
        add_finding(c, SOAK_RAN_TWICE, r->sent_ms, r->id, kind);
    }
    if (was_refused(r) && r->begin_count) {
        add_finding(c, SOAK_RAN_AFTER_REFUSAL, r->sent_ms, r->id, kind);
    }
    if (r->status / 100 == 2 && r->is_complete && !r->is_correct) {
        add_finding(c, SOAK_WRONG_RESPONSE, r->sent_ms, r->id, kind);
    }
    bool is_stream = soak_kinds[r->kind].tokens_max > 0;
    if (is_stream && r->first == (uint32_t)(r - c->requests)) {
        check_stream(c, r);
    }
    if (was_lost_by_stop(c, r)) {
        add_finding(c, SOAK_LOST_ON_STOP, r->done_ms, r->id, r->host);
    }
    if (was_ended_by_silence(c, r)) {
        add_finding(c, SOAK_ENDED_BY_SILENCE, r->done_ms, r->id, r->last_server);
    }
    if (was_quarantined_falsely(r)) {
        add_finding(c, SOAK_FALSE_QUARANTINE, r->sent_ms, r->id, kind);
    }
    if (r->is_calm && was_refused(r) && r->idle_engine_share >= IDLE_SHARE_MIN && !r->qod_body) {
        add_finding(c, SOAK_REFUSED_WHILE_IDLE, r->sent_ms, r->id, kind);
    }
    bool is_cancelable = !is_at_most_once(r) || strcmp(soak_kinds[r->kind].route_kind, "stream") == 0;
    if (r->abandoned_ms && r->is_calm && is_cancelable && r->begin_count &&
        r->end_ms > r->abandoned_ms + CANCEL_SLACK_MS) {
        add_finding(c, SOAK_RAN_AFTER_CANCEL, r->abandoned_ms, r->id, kind);
    }
}

/* Whether the calm period ended while the request ran, before it had had half of its time. */
static bool was_calm_too_short(const checker_t* c, const request_t* r) {
    int64_t from_ms = r->sent_ms;
    int64_t until_ms = from_ms + (int64_t)soak_kinds[r->kind].timeout_ms / 2;
    if (c->finish_ms && c->finish_ms <= until_ms) {
        return true;
    }
    until_ms = r->done_ms && r->done_ms < until_ms ? r->done_ms : until_ms;
    for (uint32_t i = 0; i < c->fault_count; i++) {
        if (c->faults[i].from_ms > from_ms && c->faults[i].from_ms < until_ms) {
            return true;
        }
    }
    return false;
}

static void count_request(checker_t* c, const request_t* r) {
    soak_result_t* result = &c->result;
    if (r->qod_body) {
        return;
    }
    bool served = r->status / 100 == 2 && r->is_complete && r->is_correct;
    bool refused = was_refused(r);
    result->served += served;
    result->resumed += r->is_resumption;
    result->resumed_served += r->is_resumption && served;
    result->refused += refused;
    result->abandoned += r->abandoned_ms != 0;
    result->failed += r->done_ms && !served && !refused;
    if (r->is_calm && !r->abandoned_ms && !was_calm_too_short(c, r)) {
        result->calm_sent++;
        result->calm_served += served;
        result->calm_refused += refused;
    }
}

/* Finds a kind of request that is refused in the window that starts with request first, while larger, less urgent
   prompts begin to run. */
static void check_priority_inversion(checker_t* c, uint32_t first) {
    const request_t* from = &c->requests[first];
    uint32_t kind_count = 0;
    uint32_t refused = 0;
    double refused_tokens = 0;
    uint32_t begin_count = 0;
    double begin_tokens = 0;
    for (uint32_t i = first; i < c->count && c->requests[i].sent_ms < from->sent_ms + INVERSION_WINDOW_MS; i++) {
        const request_t* r = &c->requests[i];
        const soak_kind_t* kind = &soak_kinds[r->kind];
        if (!r->is_calm) {
            return;
        }
        if (r->qod_body) {
            continue;
        }
        kind_count += r->kind == from->kind;
        if (r->kind == from->kind && was_refused(r)) {
            refused++;
            refused_tokens += r->tokens;
        }
        if (kind->tokens_max && kind->tier > soak_kinds[from->kind].tier && r->begin_count) {
            begin_count++;
            begin_tokens += r->tokens;
        }
    }
    bool is_frequent = refused >= INVERSION_REFUSALS_MIN && refused * INVERSION_REFUSED_ONE_IN > kind_count;
    if (is_frequent && begin_count && begin_tokens / begin_count > INVERSION_SIZE_RATIO * refused_tokens / refused) {
        add_finding(c, SOAK_PRIORITY_INVERSION, from->sent_ms, "ten or more requests refused",
                    soak_kinds[from->kind].name);
    }
}

static void check_queries_of_death(checker_t* c) {
    for (uint32_t i = 0; i < c->queries_of_death.count; i++) {
        const soak_qod_body_t* body = &c->queries_of_death.bodies[i];
        c->result.qod_bodies++;
        c->result.qod_sent += body->sent;
        c->result.qod_crashes += body->crashes;
        if (body->late_arrivals > SOAK_QOD_LATE_ARRIVALS_MAX) {
            char what[64];
            snprintf(what, sizeof(what), "%u upstreams crashed, %u late arrivals", body->crashes, body->late_arrivals);
            add_finding(c, SOAK_QUERY_OF_DEATH, body->known_from_ms, what, body->name);
        }
    }
}

static void on_pushback_violation(void* user, soak_pushback_kind_t kind, const soak_arrival_t* arrival,
                                  const char* what) {
    /* Indexed by soak_pushback_kind_t. */
    static const soak_check_t checks[] = {SOAK_RATE_EXCEEDED, SOAK_BACKOFF_IGNORED, SOAK_LEAVING_IGNORED};
    add_finding(user, checks[kind], arrival->at_ms, what, "an upstream");
}

soak_result_t soak_check_record(const char* record, uint32_t grace_ms, uint32_t drain_ms) {
    checker_t* c = cw_alloc(NULL, 1, sizeof(*c));
    c->requests = cw_alloc(NULL, MAX_REQUESTS, sizeof(*c->requests));
    c->by_id = cw_map_setup(MAX_REQUESTS, NULL);
    c->pushback = soak_pushback_setup();
    c->grace_ms = grace_ms;
    c->drain_ms = drain_ms;
    read_record(c, record);
    int64_t next_window_ms = 0;
    for (uint32_t i = 0; i < c->count; i++) {
        const request_t* r = &c->requests[i];
        check_request(c, r);
        count_request(c, r);
        if (was_refused(r) && !r->qod_body && r->sent_ms >= next_window_ms && soak_kinds[r->kind].tokens_max) {
            check_priority_inversion(c, i);
            next_window_ms = r->sent_ms + INVERSION_WINDOW_MS / 10;
        }
    }
    check_queries_of_death(c);
    soak_pushback_check(c->pushback, c->drain_ms + LEAVING_SLACK_MS, on_pushback_violation, c);
    soak_pushback_shutdown(c->pushback);
    soak_result_t result = c->result;
    if (result.calm_sent && result.calm_served < RECOVERY_SHARE_MIN * result.calm_sent) {
        result.count[SOAK_RECOVERY] = 1;
        snprintf(result.first_finding[SOAK_RECOVERY], sizeof(result.first_finding[SOAK_RECOVERY]),
                 "%u of %u requests served in calm periods", result.calm_served, result.calm_sent);
    }
    cw_map_shutdown(&c->by_id);
    free(c->requests);
    free(c->faults);
    free(c);
    return result;
}

bool soak_has_failed(const soak_result_t* result) {
    for (int i = 0; i < SOAK_CHECK_COUNT; i++) {
        if (result->count[i] > soak_check_allowed((soak_check_t)i)) {
            return true;
        }
    }
    return false;
}
