/* Judges the record of a soak by what callers and upstreams saw. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_map.h"
#include "soak.h"
#include "soak_deadly.h"
#include "soak_pushback.h"

#define MAX_REQUESTS 200000
#define MAX_SERVERS 1024
#define MAX_FAULTS 1024
#define MAX_HOSTS 128
#define NAME_SIZE 32
#define SETTLE_MS 4000     /* after a fault's end, until a moment counts as calm */
#define IDLE_SHARE 0.25    /* of the engines, that run nothing: what is refused then could have begun at once */
#define WINDOW_MS 5000     /* in which a kind is put behind */
#define WINDOW_FEW 10      /* refusals in a window that say nothing yet */
#define WINDOW_SHARE 12    /* more than a twelfth of the kind's requests */
#define LARGER 2           /* times the tokens of what is refused */
#define LEFT_SLACK_MS 1000 /* beyond the drain time: reading, telling and the machine's own lateness */
#define GONE_MS 500        /* after a caller left */
#define RECOVERY_SHARE 0.9 /* of what was sent in calm seconds */
#define STOP_SLACK_MS 1500 /* beyond the grace time */
#define SIGNALLED 128      /* codes beyond: the signal that ended the process */
#define LOADING_MS 100     /* after its start a program may not be loaded yet: a signal ends it then */
#define MACHINE "-"        /* target of faults of the machine itself */
#define DISTURBED_MS 1000  /* around a fault of its own server, within which a lost answer is not the host's */

const soak_kind_t soak_kinds[SOAK_KINDS] = {
    {"short", "/short/", "stream", true, 0, 250, 8000, 400, 1600, 10, 0.45},
    {"medium", "/medium/", "stream", false, 1, 400, 3000, 800, 7400, 3, 0.27},
    {"long", "/long/", "stream", false, 2, 2000, 10000, 4000, 60000, 12, 0.08},
    {"call", "/call/", "once", false, 2, 300, 1500, 0, 0, 0, 0.1},
    {"get", "/get/", "repeatable", false, 2, 300, 1500, 0, 0, 0, 0.1},
};

int soak_kind_find(const char* name) {
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
    int64_t sent_ms, done_ms, left_ms; /* 0: not yet */
    uint32_t status, begun;
    bool whole, right, held;
    soak_deadly_body_t* deadly; /* NULL: an ordinary request */
    int64_t begun_ms, ended_ms;
    char server[NAME_SIZE]; /* that began it last */
    double idle;            /* share of the engines that ran nothing as it was sent */
    bool calm;              /* it was sent in calm seconds */
} request_t;

typedef struct server_record_t {
    char id[NAME_SIZE];
    uint32_t slots, running;
    bool down;
    int64_t leaves_ms; /* 0: it does not */
    uint32_t lives;    /* times that it started */
} server_record_t;

typedef struct fault_t {
    char name[NAME_SIZE], target[NAME_SIZE];
    int64_t from_ms, to_ms; /* to_ms 0: not over */
} fault_t;

/* A host's last start. */
typedef struct host_record_t {
    char name[NAME_SIZE];
    int64_t started_ms;
} host_record_t;

typedef struct judge_t {
    soak_result_t result;
    cw_map_t by_id;
    request_t* requests;
    uint32_t count;
    server_record_t servers[MAX_SERVERS];
    uint32_t server_count;
    host_record_t hosts[MAX_HOSTS];
    uint32_t host_count;
    fault_t faults[MAX_FAULTS];
    uint32_t fault_count;
    uint32_t grace_ms, drain_ms;
    int64_t finish_ms;
    soak_deadly_t deadly;
    soak_pushback_t* pushback;
} judge_t;

const char* soak_check_name(soak_check_t check) {
    static const char* const names[SOAK_CHECKS] = {"twice",      "refused-and-run", "mixed",     "lost", "refused-idle",
                                                   "put-behind", "sent-to-left",    "worked-on", "stop", "recovery",
                                                   "deadly",     "shut-out",        "rate",      "rest", "told-left"};
    return names[check];
}

uint32_t soak_check_allowed(soak_check_t check) {
    static const uint32_t allowed[SOAK_CHECKS] = {[SOAK_WORKED_ON] = 5};
    return allowed[check];
}

static void found(judge_t* j, soak_check_t check, int64_t at_ms, const char* what, const char* who) {
    if (!j->result.count[check]++) {
        snprintf(j->result.first[check], sizeof(j->result.first[check]), "%s, %s at %" PRId64 " ms", what, who, at_ms);
    }
}

static request_t* request_of(judge_t* j, const char* id) {
    uint32_t at = cw_map_get(&j->by_id, cw_name_id(id));
    return at == CW_MAP_NONE ? NULL : &j->requests[at];
}

static server_record_t* server_of(judge_t* j, const char* id) {
    for (uint32_t i = 0; i < j->server_count; i++) {
        if (strcmp(j->servers[i].id, id) == 0) {
            return &j->servers[i];
        }
    }
    return NULL;
}

/* Whether something is brought about at the moment or was shortly before. */
static bool disturbed(const judge_t* j, int64_t at_ms, const char* target, int64_t after_ms) {
    for (uint32_t i = 0; i < j->fault_count; i++) {
        const fault_t* f = &j->faults[i];
        bool meant = !target || strcmp(f->target, target) == 0;
        if (meant && f->from_ms <= at_ms && (!f->to_ms || at_ms < f->to_ms + after_ms)) {
            return true;
        }
    }
    return false;
}

/* Whether the source could not tell what was published since the moment, up to another one. */
static bool source_hid(const judge_t* j, int64_t since_ms, int64_t at_ms, int64_t known_ms) {
    static const char prefix[] = "source-";
    for (uint32_t i = 0; i < j->fault_count; i++) {
        const fault_t* f = &j->faults[i];
        bool meant = strncmp(f->name, prefix, sizeof(prefix) - 1) == 0;
        if (meant && f->from_ms <= since_ms + known_ms && (!f->to_ms || f->to_ms + known_ms > at_ms)) {
            return true;
        }
    }
    return false;
}

/* -- reading -------------------------------------------------------------- */

static double idle_share(const judge_t* j) {
    uint32_t engines = 0;
    uint32_t idle = 0;
    for (uint32_t i = 0; i < j->server_count; i++) {
        const server_record_t* s = &j->servers[i];
        bool used = s->slots && !s->down && !s->leaves_ms;
        engines += used;
        idle += used && !s->running;
    }
    return engines ? (double)idle / engines : 0;
}

static void take_sent(judge_t* j, int64_t at_ms, const char* rest) {
    char kind[NAME_SIZE] = "";
    char body[NAME_SIZE] = "-";
    if (j->count == MAX_REQUESTS) {
        return;
    }
    request_t* r = &j->requests[j->count];
    *r = (request_t){.sent_ms = at_ms, .idle = idle_share(j)};
    if (sscanf(rest, "%31s %31s %31s %u %31s", r->id, kind, r->host, &r->tokens, body) >= 4) {
        r->kind = soak_kind_find(kind);
        r->calm = !disturbed(j, at_ms, NULL, SETTLE_MS);
        cw_map_put(&j->by_id, cw_name_id(r->id), j->count++);
        r->deadly = strcmp(body, "-") != 0 ? soak_deadly_body(&j->deadly, body) : NULL;
        if (r->deadly) {
            r->deadly->sent++;
        } else {
            j->result.sent++;
        }
    }
}

static void take_caller(judge_t* j, int64_t at_ms, const char* what, const char* rest) {
    char id[NAME_SIZE] = "";
    if (strcmp(what, "sent") == 0) {
        take_sent(j, at_ms, rest);
        return;
    }
    sscanf(rest, "%31s", id);
    request_t* r = request_of(j, id);
    if (!r) {
        return;
    }
    if (strcmp(what, "left") == 0) {
        r->left_ms = at_ms;
        return;
    }
    uint32_t whole = 0;
    uint32_t right = 0;
    uint32_t held = 0;
    sscanf(rest, "%*s %u %u %u %*u %u", &r->status, &whole, &right, &held);
    r->done_ms = at_ms;
    r->whole = whole;
    r->right = right;
    r->held = held;
}

static void take_begin(judge_t* j, int64_t at_ms, request_t* r, server_record_t* s) {
    r->begun++;
    r->begun_ms = at_ms;
    r->ended_ms = 0;
    cw_copy(r->server, sizeof(r->server), s->id);
    s->running++;
    int64_t known_ms = j->drain_ms + LEFT_SLACK_MS;
    bool late = s->leaves_ms && r->sent_ms > s->leaves_ms + known_ms;
    if (late && !source_hid(j, s->leaves_ms, at_ms, known_ms)) {
        found(j, SOAK_LEFT, at_ms, r->id, s->id);
    }
}

static void take_fault(judge_t* j, int64_t at_ms, bool begins, const char* name, const char* target);

static host_record_t* host_of(judge_t* j, const char* name);

/* Whether the host may not know yet what the others do: it has just started, or was stopped, killed or frozen. Where
   all are lost at once, nobody knows. */
static bool out_of_touch(judge_t* j, int64_t at_ms, const char* host) {
    const host_record_t* h = host_of(j, host);
    bool young = h && h->started_ms && at_ms - h->started_ms < SOAK_DEADLY_KNOWN_MS;
    return young || disturbed(j, at_ms, host, SOAK_DEADLY_KNOWN_MS);
}

/* A deadly request reached an upstream, or the upstream ends under it: a fault until the soak has it back. */
static void take_deadly(judge_t* j, int64_t at_ms, const char* what, const request_t* r, const char* server) {
    soak_deadly_body_t* body = r->deadly;
    if (strcmp(what, "reach") == 0) {
        if (!out_of_touch(j, at_ms, r->host)) {
            soak_deadly_reach(body, at_ms);
        }
        return;
    }
    soak_deadly_died(body, at_ms);
    take_fault(j, at_ms, true, "died", server);
}

static uint64_t life_of(const server_record_t* s) {
    return cw_mix(cw_name_id(s->id), s->lives);
}

/* Whether the upstream stood still shortly before: it notes then what came before. */
static bool stood_still(const judge_t* j, int64_t at_ms, const char* server) {
    for (uint32_t i = 0; i < j->fault_count; i++) {
        const fault_t* f = &j->faults[i];
        bool meant = strcmp(f->name, "freeze") == 0 && strcmp(f->target, server) == 0;
        if (meant && (!f->to_ms || at_ms < f->to_ms + SOAK_PUSHBACK_WINDOW_MS)) {
            return true;
        }
    }
    return false;
}

static void take_arrival(judge_t* j, int64_t at_ms, const request_t* r, const server_record_t* s) {
    bool excused = out_of_touch(j, at_ms, r->host) || stood_still(j, at_ms, s->id) ||
                   disturbed(j, at_ms, MACHINE, SOAK_PUSHBACK_WINDOW_MS);
    soak_pushback_arrival(j->pushback, &(soak_arrival_t){.at_ms = at_ms,
                                                         .sent_ms = r->sent_ms,
                                                         .server = life_of(s),
                                                         .host = cw_name_id(r->host),
                                                         .excused = excused});
}

/* What upstreams asked of hosts. True: it was such a line. */
static bool take_pushback(judge_t* j, int64_t at_ms, const char* what, const request_t* r, const server_record_t* s,
                          double value) {
    static const char* const words[] = {"named", "away", "parts"}; /* by soak_word_kind_t */
    if (strcmp(what, "rate") == 0) {
        soak_pushback_rate(j->pushback, at_ms, life_of(s), value);
        return true;
    }
    if (strcmp(what, "came") == 0) {
        if (r) {
            take_arrival(j, at_ms, r, s);
        }
        return true;
    }
    for (uint32_t kind = 0; kind < sizeof(words) / sizeof(*words); kind++) {
        if (strcmp(what, words[kind]) == 0) {
            soak_pushback_word(j->pushback, &(soak_word_t){.kind = (soak_word_kind_t)kind,
                                                           .at_ms = at_ms,
                                                           .server = life_of(s),
                                                           .host = r ? cw_name_id(r->host) : 0,
                                                           .rest_ms = (uint32_t)value});
            return true;
        }
    }
    return false;
}

static void take_upstream(judge_t* j, int64_t at_ms, const char* what, const char* rest) {
    char id[NAME_SIZE] = "";
    char server[NAME_SIZE] = "";
    double value = 0;
    sscanf(rest, "%31s %31s %lf", id, server, &value);
    request_t* r = request_of(j, id);
    server_record_t* s = server_of(j, server);
    if (!s || take_pushback(j, at_ms, what, r, s, value) || !r) {
        return;
    }
    if (r->deadly && (strcmp(what, "reach") == 0 || strcmp(what, "died") == 0)) {
        take_deadly(j, at_ms, what, r, server);
        return;
    }
    if (strcmp(what, "begin") == 0) {
        take_begin(j, at_ms, r, s);
        return;
    }
    s->running -= s->running > 0;
    r->ended_ms = at_ms;
}

static void take_server(judge_t* j, int64_t at_ms, const char* what, const char* id, uint32_t slots) {
    server_record_t* s = server_of(j, id);
    if (!s && j->server_count < MAX_SERVERS) {
        s = &j->servers[j->server_count++];
        *s = (server_record_t){.slots = slots};
        cw_copy(s->id, sizeof(s->id), id);
    }
    if (s && strcmp(what, "up") == 0) { /* again, it may be: it holds nothing of before */
        s->down = false;
        s->lives++;
        s->running = 0;
        s->leaves_ms = 0;
    }
    if (s && strcmp(what, "leaves") == 0) {
        s->leaves_ms = at_ms;
    } else if (s && strcmp(what, "down") == 0) {
        s->down = true;
    }
}

static void take_fault(judge_t* j, int64_t at_ms, bool begins, const char* name, const char* target) {
    if (begins && j->fault_count < MAX_FAULTS) {
        fault_t* f = &j->faults[j->fault_count++];
        *f = (fault_t){.from_ms = at_ms};
        cw_copy(f->name, sizeof(f->name), name);
        cw_copy(f->target, sizeof(f->target), target);
        return;
    }
    for (uint32_t i = 0; i < j->fault_count; i++) {
        fault_t* f = &j->faults[i];
        if (!f->to_ms && strcmp(f->name, name) == 0 && strcmp(f->target, target) == 0) {
            f->to_ms = at_ms;
            return;
        }
    }
}

static host_record_t* host_of(judge_t* j, const char* name) {
    for (uint32_t i = 0; i < j->host_count; i++) {
        if (strcmp(j->hosts[i].name, name) == 0) {
            return &j->hosts[i];
        }
    }
    if (j->host_count == MAX_HOSTS) {
        return NULL;
    }
    host_record_t* h = &j->hosts[j->host_count++];
    *h = (host_record_t){0};
    cw_copy(h->name, sizeof(h->name), name);
    return h;
}

static void take_started(judge_t* j, int64_t at_ms, const char* name) {
    host_record_t* h = host_of(j, name);
    if (h) {
        h->started_ms = at_ms;
    }
}

/* The fault of this name at the host that is not over; NULL: none. */
static const fault_t* open_fault(const judge_t* j, const char* name, const char* host) {
    for (uint32_t i = 0; i < j->fault_count; i++) {
        const fault_t* f = &j->faults[i];
        if (!f->to_ms && strcmp(f->name, name) == 0 && strcmp(f->target, host) == 0) {
            return f;
        }
    }
    return NULL;
}

/* Whether a signal was sent to the host so soon after its last start that its program may not have been loaded. When
   the process ends of it says nothing: the machine may take its time to run it. */
static bool signalled_while_loading(const judge_t* j, const char* host, int64_t started_ms) {
    for (uint32_t i = 0; i < j->fault_count && started_ms; i++) {
        const fault_t* f = &j->faults[i];
        int64_t since_ms = f->from_ms - started_ms;
        if (strcmp(f->target, host) == 0 && since_ms >= 0 && since_ms < LOADING_MS) {
            return true;
        }
    }
    return false;
}

/* A host has ended: killed, told to stop, or by itself. */
static void take_ended(judge_t* j, int64_t at_ms, const char* host, int code) {
    const fault_t* stop = open_fault(j, "stop", host);
    const host_record_t* h = host_of(j, host);
    bool loading = h && code > SIGNALLED && signalled_while_loading(j, host, h->started_ms);
    if (open_fault(j, "kill", host) || loading) {
        return;
    }
    if (!stop) {
        found(j, SOAK_STOP, at_ms, "it ended by itself", host);
    } else if (code != 0 || at_ms > stop->from_ms + j->grace_ms + STOP_SLACK_MS) {
        found(j, SOAK_STOP, at_ms, code ? "it did not end in order" : "it outlived its grace time", host);
    }
}

static void take_soak(judge_t* j, int64_t at_ms, const char* what, const char* rest) {
    char name[NAME_SIZE] = "-";
    char target[NAME_SIZE] = "-";
    sscanf(rest, "%31s %31s", name, target);
    if (strcmp(what, "fault") == 0 || strcmp(what, "over") == 0) {
        take_fault(j, at_ms, strcmp(what, "fault") == 0, name, target);
    } else if (strcmp(what, "ended") == 0) {
        take_ended(j, at_ms, name, (int)strtol(target, NULL, 10));
    } else if (strcmp(what, "started") == 0) {
        take_started(j, at_ms, name);
    } else if (strcmp(what, "finish") == 0) {
        j->finish_ms = at_ms;
    } else {
        take_server(j, at_ms, what, name, (uint32_t)strtoul(target, NULL, 10));
    }
}

typedef struct line_t {
    int64_t at_ms;
    uint32_t rank; /* within a millisecond: what must have been first */
    uint32_t order;
    const char* text;
} line_t;

static int line_compare(const void* left, const void* right) {
    const line_t* a = left;
    const line_t* b = right;
    if (a->at_ms != b->at_ms) {
        return a->at_ms < b->at_ms ? -1 : 1;
    }
    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    return (a->order > b->order) - (a->order < b->order);
}

/* Programs write at their own pace, and clocks tell no more than milliseconds: a request is sent before it begins, and
   begins before it ends, and ends before its caller is answered; the same for what is deadly. */
static uint32_t rank_of(const char* line) {
    static const char* const order[] = {"sent", "reach", "begin", "died", "end", "gone", "done"};
    char what[NAME_SIZE] = "";
    sscanf(line, "%*c %*d %31s", what);
    for (uint32_t i = 0; i < sizeof(order) / sizeof(order[0]); i++) {
        if (strcmp(what, order[i]) == 0) {
            return i + 1;
        }
    }
    return 0;
}

/* The lines in order of time. */
static line_t* sort_lines(const char* record, uint32_t* count) {
    uint32_t capacity = 1;
    for (const char* at = record; *at; at++) {
        capacity += *at == '\n';
    }
    line_t* lines = cw_alloc(NULL, capacity, sizeof(*lines));
    *count = 0;
    for (const char* at = record; at && *at && *count < capacity; at = strchr(at, '\n'), at += at != NULL) {
        lines[*count] = (line_t){.rank = rank_of(at), .order = *count, .text = at};
        if (sscanf(at, "%*c %" SCNd64, &lines[*count].at_ms) == 1) {
            (*count)++;
        }
    }
    qsort(lines, *count, sizeof(*lines), line_compare);
    return lines;
}

static void read_record(judge_t* j, const char* record) {
    uint32_t count = 0;
    line_t* lines = sort_lines(record, &count);
    for (uint32_t i = 0; i < count; i++) {
        char who = 0;
        char what[NAME_SIZE] = "";
        char rest[160] = "";
        char text[240];
        size_t size = strcspn(lines[i].text, "\n");
        cw_copy(text, size + 1 < sizeof(text) ? size + 1 : sizeof(text), lines[i].text);
        if (sscanf(text, "%c %*d %31s %159[^\n]", &who, what, rest) < 2) {
            continue;
        }
        if (who == 'C') {
            take_caller(j, lines[i].at_ms, what, rest);
        } else if (who == 'U') {
            take_upstream(j, lines[i].at_ms, what, rest);
        } else {
            take_soak(j, lines[i].at_ms, what, rest);
        }
    }
    free(lines);
}

/* -- judging -------------------------------------------------------------- */

/* Told as not run, and never to run. */
static bool promised(const request_t* r) {
    return r->status == 503 || r->status == 429 || r->status == 408 || r->status == 421;
}

static bool once(const request_t* r) {
    const soak_kind_t* kind = &soak_kinds[r->kind];
    return strcmp(kind->route_kind, "repeatable") != 0 && !kind->resume;
}

/* Its connection ended without an answer although a server had it, and the host was being stopped as planned. */
static bool lost_by_stop(const judge_t* j, const request_t* r) {
    bool unanswered = r->done_ms && !r->left_ms && (!r->status || !r->whole) && r->begun;
    if (!unanswered || disturbed(j, r->done_ms, r->server, DISTURBED_MS)) {
        return false;
    }
    for (uint32_t i = 0; i < j->fault_count; i++) {
        const fault_t* f = &j->faults[i];
        bool here = strcmp(f->target, r->host) == 0 && f->from_ms <= r->done_ms &&
                    (!f->to_ms || r->done_ms <= f->to_ms) && r->sent_ms >= f->from_ms - (int64_t)j->grace_ms;
        if (here && strcmp(f->name, "stop") != 0) {
            return false;
        }
    }
    for (uint32_t i = 0; i < j->fault_count; i++) {
        const fault_t* f = &j->faults[i];
        bool stopping = strcmp(f->name, "stop") == 0 && strcmp(f->target, r->host) == 0 && f->from_ms <= r->done_ms &&
                        (!f->to_ms || r->done_ms <= f->to_ms);
        bool still_at_work = r->done_ms - f->from_ms > (int64_t)j->grace_ms * 5 / 6;
        if (stopping && !still_at_work) {
            return true;
        }
    }
    return false;
}

static void judge_request(judge_t* j, const request_t* r) {
    const char* kind = soak_kinds[r->kind].name;
    if (once(r) && r->begun > 1) {
        found(j, SOAK_TWICE, r->sent_ms, r->id, kind);
    }
    if (promised(r) && r->begun) {
        found(j, SOAK_REFUSED, r->sent_ms, r->id, kind);
    }
    if (r->status / 100 == 2 && r->whole && !r->right) {
        found(j, SOAK_MIXED, r->sent_ms, r->id, kind);
    }
    if (lost_by_stop(j, r)) {
        found(j, SOAK_LOST, r->done_ms, r->id, r->host);
    }
    if (r->held && !r->deadly) {
        found(j, SOAK_SHUT_OUT, r->sent_ms, r->id, kind);
    }
    if (r->calm && promised(r) && r->idle >= IDLE_SHARE && !r->deadly) {
        found(j, SOAK_IDLE, r->sent_ms, r->id, kind);
    }
    bool repeatable = !once(r) || strcmp(soak_kinds[r->kind].route_kind, "stream") == 0;
    if (r->left_ms && r->calm && repeatable && r->begun && r->ended_ms > r->left_ms + GONE_MS) {
        found(j, SOAK_WORKED_ON, r->left_ms, r->id, kind);
    }
}

static void count_request(judge_t* j, const request_t* r) {
    soak_result_t* result = &j->result;
    if (r->deadly) {
        return;
    }
    bool served = r->status / 100 == 2 && r->whole && r->right;
    bool refused = promised(r);
    result->served += served;
    result->refused += refused;
    result->left += r->left_ms != 0;
    result->failed += r->done_ms && !served && !refused;
    if (r->calm && !r->left_ms &&
        (!j->finish_ms || r->sent_ms < j->finish_ms - (int64_t)soak_kinds[r->kind].timeout_ms / 2)) {
        result->calm_sent++;
        result->calm_served += served;
        result->calm_refused += refused;
    }
}

/* A kind that is refused in the window from a request on, while larger prompts that are less urgent begin. */
static void judge_window(judge_t* j, uint32_t first) {
    const request_t* from = &j->requests[first];
    uint32_t asked = 0;
    uint32_t refused = 0;
    double refused_tokens = 0;
    uint32_t begun = 0;
    double begun_tokens = 0;
    for (uint32_t i = first; i < j->count && j->requests[i].sent_ms < from->sent_ms + WINDOW_MS; i++) {
        const request_t* r = &j->requests[i];
        const soak_kind_t* kind = &soak_kinds[r->kind];
        if (!r->calm) {
            return;
        }
        if (r->deadly) {
            continue;
        }
        asked += r->kind == from->kind;
        if (r->kind == from->kind && promised(r)) {
            refused++;
            refused_tokens += r->tokens;
        }
        if (kind->tokens_max && kind->tier > soak_kinds[from->kind].tier && r->begun) {
            begun++;
            begun_tokens += r->tokens;
        }
    }
    bool many = refused >= WINDOW_FEW && refused * WINDOW_SHARE > asked;
    if (many && begun && begun_tokens / begun > LARGER * refused_tokens / refused) {
        found(j, SOAK_PUT_BEHIND, from->sent_ms, "ten or more refused", soak_kinds[from->kind].name);
    }
}

static void judge_deadly(judge_t* j) {
    for (uint32_t i = 0; i < j->deadly.count; i++) {
        const soak_deadly_body_t* body = &j->deadly.bodies[i];
        j->result.deadly_bodies++;
        j->result.deadly_sent += body->sent;
        j->result.deadly_ended += body->ended;
        if (body->late > SOAK_DEADLY_REACHES) {
            char what[64];
            snprintf(what, sizeof(what), "%u ended, reached %u times more", body->ended, body->late);
            found(j, SOAK_DEADLY, body->known_ms, what, body->name);
        }
    }
}

static void on_pushback(void* user, soak_word_kind_t kind, const soak_arrival_t* arrival, const char* what) {
    static const soak_check_t checks[] = {SOAK_RATE, SOAK_REST, SOAK_TOLD_LEFT}; /* by soak_word_kind_t */
    found(user, checks[kind], arrival->at_ms, what, "an upstream");
}

soak_result_t soak_judge(const char* record, uint32_t grace_ms, uint32_t drain_ms) {
    judge_t* j = cw_alloc(NULL, 1, sizeof(*j));
    j->requests = cw_alloc(NULL, MAX_REQUESTS, sizeof(*j->requests));
    j->by_id = cw_map_setup(MAX_REQUESTS, NULL);
    j->pushback = soak_pushback_setup();
    j->grace_ms = grace_ms;
    j->drain_ms = drain_ms;
    read_record(j, record);
    int64_t next_window_ms = 0;
    for (uint32_t i = 0; i < j->count; i++) {
        const request_t* r = &j->requests[i];
        judge_request(j, r);
        count_request(j, r);
        if (promised(r) && !r->deadly && r->sent_ms >= next_window_ms && soak_kinds[r->kind].tokens_max) {
            judge_window(j, i);
            next_window_ms = r->sent_ms + WINDOW_MS / 10;
        }
    }
    judge_deadly(j);
    soak_pushback_judge(j->pushback, j->drain_ms + LEFT_SLACK_MS, on_pushback, j);
    soak_pushback_shutdown(j->pushback);
    soak_result_t result = j->result;
    if (result.calm_sent && result.calm_served < RECOVERY_SHARE * result.calm_sent) {
        result.count[SOAK_RECOVERY] = 1;
        snprintf(result.first[SOAK_RECOVERY], sizeof(result.first[SOAK_RECOVERY]), "%u of %u served in calm seconds",
                 result.calm_served, result.calm_sent);
    }
    cw_map_shutdown(&j->by_id);
    free(j->requests);
    free(j);
    return result;
}

bool soak_failed(const soak_result_t* result) {
    for (int i = 0; i < SOAK_CHECKS; i++) {
        if (result->count[i] > soak_check_allowed((soak_check_t)i)) {
            return true;
        }
    }
    return false;
}
