/*
    chalkway-soak: gateways, a source, engines, services and callers as real processes on loopback, disturbed by a
   seeded schedule, and judged by what callers and upstreams saw (tools/soak.h).

    Seconds of disturbance, in which faults come in series and overlap, alternate with calm ones. It ends only processes
   that it started, by their ids. The status is 0 when no check failed. With --keep, or after a failure, the folder with
    the record and the hosts' logs stays; its path is printed.
*/
#include <argp.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../io/buffer.h"
#include "../io/client.h"
#include "../standins/standin.h"
#include "soak.h"

#define MAX_PROCS 512
#define MAX_FAULTS 512
#define MAX_ARGS 80
#define GRACE_MS 4000
#define DRAIN_MS 2000
#define START_MS 3000   /* from the first process to the first request */
#define STIRRED_MS 9000 /* length of a disturbed part */
#define CALM_MS 12000   /* of a calm one: two windows of the judge after its settling time */
#define LAST_MS 3000    /* from the callers' last request until the hosts are told to stop */
#define FAULT_MIN_MS 300
#define FAULT_SPREAD_MS 3500
#define PAUSE_MIN_MS 200 /* from one fault to the next */
#define PAUSE_SPREAD_MS 1200
#define LEAVE_MS (DRAIN_MS + 4000) /* a server that leaves serves on for so long */
#define SLOW_TIMES 5
#define ENGINE_SLOTS 12
#define ENGINE_MEMORY 400000
#define PREFILL_US "18"
#define SERVICE_SLOTS 6
#define SERVICE_MS "40"
#define PORT_CALLERS 7100 /* the hosts' ports, each on an address of its own */
#define PORT_LOOKUP 7102

typedef enum proc_kind_t { PROC_SOURCE, PROC_UPSTREAM, PROC_HOST, PROC_CALLERS } proc_kind_t;

typedef struct soak_t soak_t;

typedef struct proc_t {
    soak_t* soak;
    proc_kind_t kind;
    pid_t pid; /* 0: ended */
    char name[32];
    char address[48]; /* of stand-ins, once ready */
    bool engine, leaving, told, stopping;
    ev_child child;
    ev_io out; /* lines of stand-ins and callers */
    int out_fd;
    cw_buffer_t line;
} proc_t;

typedef struct active_t {
    soak_t* soak;
    const struct fault_kind_t* kind; /* NULL: unused */
    proc_t* target;
    ev_timer timer;
} active_t;

struct soak_t {
    struct ev_loop* loop;
    cw_client_t* client;
    const char* build;
    char dir[64];
    char base[16]; /* "127.A.B", of the hosts' addresses */
    uint64_t seed, draws;
    uint32_t seconds, hosts, engines, services, callers;
    double per_s;
    bool keep;
    const char* kept_record; /* to be judged, NULL: a soak is run */
    proc_t procs[MAX_PROCS];
    uint32_t proc_count, names;
    active_t active[MAX_FAULTS];
    cw_buffer_t record;
    proc_t *source, *caller_proc;
    int64_t revision;
    int64_t stirred_until_ms;
    bool ending;
    ev_timer next, phase, end;
};

static uint64_t draw(soak_t* s) {
    return cw_mix(s->seed, ++s->draws);
}

static void note(soak_t* s, const char* fmt, ...) __attribute__((format(printf, 2, 3)));
static void note(soak_t* s, const char* fmt, ...) {
    char line[200];
    int n = snprintf(line, sizeof(line), "S %" PRId64 " ", standin_now());
    va_list args;
    va_start(args, fmt);
    n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, args);
    va_end(args);
    line[n++] = '\n';
    cw_buffer_add(&s->record, line, (size_t)n);
}

static void after(soak_t* s, ev_timer* t, int64_t ms) {
    ev_timer_stop(s->loop, t);
    ev_timer_set(t, ms > 0 ? (double)ms / 1000.0 : 0.0, 0.0);
    ev_timer_start(s->loop, t);
}

/* -- what is published ---------------------------------------------------- */

static void on_posted(void* user, const cw_call_result_t* result) {
    (void)result;
    free(user);
}

static void post(soak_t* s, const char* address, const char* path, const char* body) {
    char url[160];
    char* kept = strdup(body);
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    cw_client_call(s->client, &(cw_call_desc_t){.method = "POST",
                                                .url = url,
                                                .body = kept,
                                                .size = strlen(kept),
                                                .timeout_ms = 2000,
                                                .on_done = on_posted,
                                                .user_data = kept});
}

static void add_text(cw_buffer_t* out, const char* fmt, ...) __attribute__((format(printf, 2, 3)));
static void add_text(cw_buffer_t* out, const char* fmt, ...) {
    char text[600];
    va_list args;
    va_start(args, fmt);
    int n = vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    cw_buffer_add(out, text, (size_t)n);
}

static void publish_catalog(soak_t* s) {
    cw_buffer_t text = {0};
    add_text(&text,
             "{\"revision\":%" PRId64 ",\"pools\":[{\"name\":\"engines\",\"health\":\"/health\",\"connections\":600,"
             "\"engine\":{\"slots\":%d,\"memory_tokens\":%d,\"event_tokens\":1}},"
             "{\"name\":\"services\",\"health\":\"/health\",\"connections\":600}],"
             "\"limits\":{\"head_bytes\":16384,\"body_bytes\":1048576,\"head_ms\":3000,\"idle_ms\":15000},\"routes\":[",
             ++s->revision, ENGINE_SLOTS, ENGINE_MEMORY);
    for (int i = 0; i < SOAK_KINDS; i++) {
        const soak_kind_t* k = &soak_kinds[i];
        add_text(&text,
                 "%s{\"name\":\"%s\",\"host\":\"soak.example\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%u,"
                 "\"target_ms\":%u,\"gap_ms\":%u,\"tier\":%u,\"attempts\":2,\"open\":true,\"resume\":%s,"
                 "\"pools\":[{\"pool\":\"%s\"}]}",
                 i ? "," : "", k->name, k->path, k->route_kind, k->timeout_ms, k->target_ms,
                 k->tokens_max ? k->target_ms : 0, k->tier, k->resume ? "true" : "false",
                 k->tokens_max ? "engines" : "services");
    }
    for (int64_t i = 0; i < s->revision % 4; i++) { /* routes come and go */
        add_text(&text,
                 ",{\"name\":\"more%" PRId64 "\",\"host\":\"more.example\",\"prefix\":\"/%" PRId64
                 "/\",\"kind\":\"once\",\"timeout_ms\":1000,\"target_ms\":300,\"tier\":2,\"attempts\":1,\"open\":true,"
                 "\"pools\":[{\"pool\":\"services\"}]}",
                 i, i);
    }
    add_text(&text, "]}");
    post(s, s->source->address, "/admin/catalog", text.data);
    cw_buffer_free(&text);
}

static void publish_servers(soak_t* s) {
    cw_buffer_t text = {0};
    add_text(&text, "{\"at\":%" PRId64 ",\"servers\":[", standin_now());
    bool first = true;
    for (uint32_t i = 0; i < s->proc_count; i++) {
        const proc_t* p = &s->procs[i];
        if (p->kind == PROC_UPSTREAM && p->pid && p->told) {
            add_text(&text,
                     "%s{\"id\":\"%s\",\"address\":\"%s\",\"pool\":\"%s\",\"hall\":\"a\",\"slots\":%d,\"leaving\":%s}",
                     first ? "" : ",", p->name, p->address, p->engine ? "engines" : "services",
                     p->engine ? ENGINE_SLOTS : SERVICE_SLOTS, p->leaving ? "true" : "false");
            first = false;
        }
    }
    add_text(&text, "]}");
    post(s, s->source->address, "/admin/servers", text.data);
    cw_buffer_free(&text);
}

/* -- processes ------------------------------------------------------------ */

static void take_line(proc_t* p, const char* line) {
    soak_t* s = p->soak;
    static const char ready[] = "ready http=";
    if (strncmp(line, ready, sizeof(ready) - 1) == 0) {
        cw_copy(p->address, sizeof(p->address), line + sizeof(ready) - 1);
        p->told = true;
        if (p->kind == PROC_UPSTREAM) {
            note(s, "up %s %d", p->name, p->engine ? ENGINE_SLOTS : 0);
        } else {
            publish_catalog(s);
        }
        if (s->source->told) {
            publish_servers(s);
        }
    } else if (line[0] == 'C' || line[0] == 'U') {
        cw_buffer_add(&s->record, line, strlen(line));
        cw_buffer_add(&s->record, "\n", 1);
    }
}

static void on_output(struct ev_loop* loop, ev_io* w, int events) {
    (void)events;
    proc_t* p = w->data;
    char data[65536];
    ssize_t size = read(w->fd, data, sizeof(data));
    if (size <= 0) {
        if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
            ev_io_stop(loop, w);
            close(w->fd);
            cw_buffer_free(&p->line);
        }
        return;
    }
    cw_buffer_add(&p->line, data, (size_t)size);
    size_t used = 0;
    for (char* end = NULL; (end = memchr(p->line.data + used, '\n', p->line.size - used)) != NULL;) {
        *end = 0;
        take_line(p, p->line.data + used);
        used = (size_t)(end - p->line.data) + 1;
    }
    cw_buffer_drop(&p->line, used);
}

static void restart_host(proc_t* p);

static void on_child(struct ev_loop* loop, ev_child* w, int events) {
    (void)events;
    proc_t* p = w->data;
    soak_t* s = p->soak;
    ev_child_stop(loop, w);
    p->pid = 0;
    int code = WIFEXITED(w->rstatus) ? WEXITSTATUS(w->rstatus) : 128 + WTERMSIG(w->rstatus);
    if (p->kind == PROC_UPSTREAM) {
        note(s, "down %s", p->name);
        publish_servers(s);
    } else if (p->kind == PROC_HOST) {
        note(s, "ended %s:%d %d", p->name, PORT_CALLERS, code);
        if (!p->stopping && !s->ending) {
            restart_host(p);
        }
    }
    for (uint32_t i = 0; s->ending && i < s->proc_count; i++) {
        if (s->procs[i].pid && s->procs[i].kind == PROC_HOST) {
            return;
        }
    }
    if (s->ending) {
        ev_break(loop, EVBREAK_ALL);
    }
}

static void run_program(const proc_t* p, const char* program, const char* const* args, int out) {
    char path[192];
    char* argv[MAX_ARGS + 2] = {path};
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* nothing stays behind when the starter dies */
    snprintf(path, sizeof(path), "%s/%s", p->soak->build, program);
    for (int i = 0; args[i] && i < MAX_ARGS; i++) {
        argv[i + 1] = (char*)args[i];
    }
    dup2(out, STDOUT_FILENO);
    dup2(out, p->kind == PROC_HOST ? STDERR_FILENO : STDOUT_FILENO);
    execv(path, argv);
    _exit(127);
}

static bool launch(proc_t* p, const char* program, const char* const* args) {
    soak_t* s = p->soak;
    int fds[2] = {-1, -1};
    char log[128];
    snprintf(log, sizeof(log), "%s/%s.log", s->dir, p->name);
    bool host = p->kind == PROC_HOST;
    int out = host                         ? open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)
              : pipe2(fds, O_CLOEXEC) == 0 ? fds[1]
                                           : -1;
    if (out < 0) {
        perror("no output for a process");
        return false;
    }
    p->pid = fork();
    if (p->pid == 0) {
        run_program(p, program, args, out);
    }
    close(out);
    p->stopping = false;
    ev_child_init(&p->child, on_child, p->pid, 0);
    p->child.data = p;
    ev_child_start(s->loop, &p->child);
    if (!host) {
        fcntl(fds[0], F_SETFL, O_NONBLOCK);
        ev_io_init(&p->out, on_output, fds[0], EV_READ);
        p->out.data = p;
        ev_io_start(s->loop, &p->out);
    }
    return true;
}

static proc_t* proc_new(soak_t* s, proc_kind_t kind) {
    if (s->proc_count == MAX_PROCS) {
        fprintf(stderr, "more than %d processes in one soak\n", MAX_PROCS);
        abort();
    }
    proc_t* p = &s->procs[s->proc_count++];
    *p = (proc_t){.soak = s, .kind = kind};
    return p;
}

static void start_upstream(soak_t* s, bool engine) {
    proc_t* p = proc_new(s, PROC_UPSTREAM);
    char slots[8];
    p->engine = engine;
    snprintf(p->name, sizeof(p->name), "%s%u", engine ? "e" : "v", ++s->names);
    snprintf(slots, sizeof(slots), "%d", engine ? ENGINE_SLOTS : SERVICE_SLOTS);
    const char* const args[] = {
        "--id", p->name, "--slots", slots, engine ? "--prefill" : "--ms", engine ? PREFILL_US : SERVICE_MS, NULL};
    launch(p, "fake-upstream", args);
}

static void write_settings(const proc_t* p, uint32_t lookup_keep_ms) {
    const soak_t* s = p->soak;
    char path[128];
    snprintf(path, sizeof(path), "%s/%s.ini", s->dir, p->name);
    FILE* file = fopen(path, "w");
    if (!file) {
        perror(path);
        return;
    }
    static const char* const listen[] = {"callers", "ready", "lookup", "metrics", "peer", "load", "share"};
    fprintf(file, "[host]\nname = %s\nhall = a\n[listen]\n", p->name);
    for (int i = 0; i < 7; i++) {
        fprintf(file, "%s = %s:%d\n", listen[i], p->name, PORT_CALLERS + i);
    }
    fprintf(file, "[peers]\nseeds = %s.1:%d, %s.2:%d\n[source]\naddress = %s\ndrain = %dms\n", s->base,
            PORT_CALLERS + 4, s->base, PORT_CALLERS + 4, s->source->address, DRAIN_MS);
    fprintf(file, "[service]\ngrace = %dms\nlookup_keep = %ums\nretry_ratio = 0.2\nretry_slack = 50\n", GRACE_MS,
            lookup_keep_ms);
    fclose(file);
}

static void restart_host(proc_t* p) {
    char path[128];
    snprintf(path, sizeof(path), "%s/%s.ini", p->soak->dir, p->name);
    const char* const args[] = {"-c", path, NULL};
    write_settings(p, 1000);
    note(p->soak, "started %s:%d", p->name, PORT_CALLERS);
    launch(p, "chalkway-gateway", args);
}

static void start_callers(soak_t* s) {
    proc_t* p = proc_new(s, PROC_CALLERS);
    char seed[24];
    char rate[24];
    char count[24];
    char addresses[MAX_ARGS][32];
    const char* args[MAX_ARGS + 1] = {"--seed", seed, "--rate", rate, "--callers", count};
    uint32_t n = 6;
    snprintf(seed, sizeof(seed), "%" PRIu64, s->seed);
    snprintf(rate, sizeof(rate), "%.1f", s->per_s);
    snprintf(count, sizeof(count), "%u", s->callers);
    for (uint32_t i = 0; i < s->hosts && n < MAX_ARGS; i++) {
        snprintf(addresses[n], sizeof(addresses[n]), "%s.%u:%d", s->base, i + 1, PORT_LOOKUP);
        args[n] = addresses[n];
        n++;
    }
    cw_copy(p->name, sizeof(p->name), "callers");
    launch(p, "chalkway-soak-callers", args);
    s->caller_proc = p;
}

/* -- faults --------------------------------------------------------------- */

typedef struct fault_kind_t {
    const char* name;
    proc_kind_t on; /* PROC_SOURCE and PROC_CALLERS: there is one */
    uint32_t weight;
    bool (*begin)(active_t* a); /* false: not now */
    void (*end)(active_t* a);
} fault_kind_t;

static bool stop_begin(active_t* a) {
    a->target->stopping = true;
    kill(a->target->pid, SIGTERM);
    return true;
}

static bool kill_begin(active_t* a) {
    a->target->stopping = true;
    kill(a->target->pid, SIGKILL);
    return true;
}

static void host_back(active_t* a) {
    if (!a->target->pid && !a->soak->ending) {
        restart_host(a->target);
    } else if (a->target->stopping) {
        after(a->soak, &a->timer, 200); /* it has not ended yet */
    }
}

static bool freeze_begin(active_t* a) {
    kill(a->target->pid, SIGSTOP);
    return true;
}

static void freeze_end(active_t* a) {
    if (a->target->pid) {
        kill(a->target->pid, SIGCONT);
    }
}

static bool reload_begin(active_t* a) {
    write_settings(a->target, 500 + (uint32_t)(draw(a->soak) % 1500));
    kill(a->target->pid, SIGHUP);
    return true;
}

static void nothing(active_t* a) {
    (void)a;
}

static bool crash_begin(active_t* a) {
    kill(a->target->pid, SIGKILL);
    return true;
}

static void upstream_anew(active_t* a) {
    start_upstream(a->soak, a->target->engine);
}

static bool leave_begin(active_t* a) {
    if (a->target->leaving) {
        return false;
    }
    a->target->leaving = true;
    note(a->soak, "leaves %s", a->target->name);
    publish_servers(a->soak);
    start_upstream(a->soak, a->target->engine);
    after(a->soak, &a->timer, LEAVE_MS);
    return true;
}

static void leave_end(active_t* a) {
    if (a->target->pid) {
        kill(a->target->pid, SIGTERM);
    }
}

static bool slow_begin(active_t* a) {
    char path[40];
    snprintf(path, sizeof(path), "/admin/set?slow=%d", SLOW_TIMES);
    post(a->soak, a->target->address, path, "");
    return true;
}

static void slow_end(active_t* a) {
    if (a->target->pid) {
        post(a->soak, a->target->address, "/admin/set?slow=1", "");
    }
}

static bool source_down(active_t* a) {
    post(a->soak, a->target->address, "/admin/mode?down=1", "");
    return true;
}

static bool source_slow(active_t* a) {
    post(a->soak, a->target->address, "/admin/mode?slow_ms=400", "");
    return true;
}

static bool source_lossy(active_t* a) {
    post(a->soak, a->target->address, "/admin/mode?lose=30", "");
    return true;
}

static bool source_stale(active_t* a) {
    post(a->soak, a->target->address, "/admin/mode?stale=1", "");
    return true;
}

static void source_well(active_t* a) {
    post(a->soak, a->target->address, "/admin/mode?down=0&slow_ms=0&lose=0&stale=0", "");
}

static bool config_begin(active_t* a) {
    publish_catalog(a->soak);
    return true;
}

static bool burst_begin(active_t* a) {
    kill(a->target->pid, SIGUSR1);
    return true;
}

static void burst_end(active_t* a) {
    if (a->target->pid) {
        kill(a->target->pid, SIGUSR2);
    }
}

static const fault_kind_t fault_kinds[] = {
    {"stop", PROC_HOST, 4, stop_begin, host_back},
    {"kill", PROC_HOST, 2, kill_begin, host_back},
    {"freeze", PROC_HOST, 2, freeze_begin, freeze_end},
    {"reload", PROC_HOST, 2, reload_begin, nothing},
    {"crash", PROC_UPSTREAM, 2, crash_begin, upstream_anew},
    {"leave", PROC_UPSTREAM, 3, leave_begin, leave_end},
    {"freeze", PROC_UPSTREAM, 1, freeze_begin, freeze_end},
    {"slow", PROC_UPSTREAM, 2, slow_begin, slow_end},
    {"source-down", PROC_SOURCE, 1, source_down, source_well},
    {"source-slow", PROC_SOURCE, 1, source_slow, source_well},
    {"source-lossy", PROC_SOURCE, 1, source_lossy, source_well},
    {"source-stale", PROC_SOURCE, 1, source_stale, source_well},
    {"config", PROC_SOURCE, 3, config_begin, nothing},
    {"burst", PROC_CALLERS, 3, burst_begin, burst_end},
};
#define FAULT_KINDS (sizeof(fault_kinds) / sizeof(fault_kinds[0]))

/* Hosts are named by the address that callers know. */
static void fault_target(const proc_t* p, char* out, size_t size) {
    if (p->kind == PROC_HOST) {
        snprintf(out, size, "%s:%d", p->name, PORT_CALLERS);
    } else {
        cw_copy(out, size, p->name);
    }
}

static bool is_target(const soak_t* s, const proc_t* p) {
    for (uint32_t i = 0; i < MAX_FAULTS; i++) {
        if (s->active[i].kind && s->active[i].target == p) {
            return true;
        }
    }
    return false;
}

static proc_t* pick_target(soak_t* s, proc_kind_t kind) {
    uint32_t free_count = 0;
    proc_t* picked = NULL;
    for (uint32_t i = 0; i < s->proc_count; i++) {
        proc_t* p = &s->procs[i];
        bool fit = p->kind == kind && p->pid && (p->told || kind == PROC_HOST || kind == PROC_CALLERS);
        if (fit && !is_target(s, p) && draw(s) % ++free_count == 0) {
            picked = p;
        }
    }
    return picked;
}

static void on_fault_end(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    active_t* a = w->data;
    char target[48];
    const fault_kind_t* kind = a->kind;
    fault_target(a->target, target, sizeof(target));
    kind->end(a);
    if (!ev_is_active(&a->timer)) {
        note(a->soak, "over %s %s", kind->name, target);
        a->kind = NULL;
    }
}

static void begin_fault(soak_t* s, const fault_kind_t* kind, proc_t* target) {
    active_t* a = NULL;
    for (uint32_t i = 0; i < MAX_FAULTS && !a; i++) {
        a = s->active[i].kind ? NULL : &s->active[i];
    }
    if (!a || !target) {
        return;
    }
    char name[48];
    int64_t left_ms = s->stirred_until_ms - standin_now();
    int64_t for_ms = FAULT_MIN_MS + (int64_t)(draw(s) % FAULT_SPREAD_MS);
    *a = (active_t){.soak = s, .kind = kind, .target = target};
    ev_timer_init(&a->timer, on_fault_end, 0.0, 0.0);
    a->timer.data = a;
    fault_target(target, name, sizeof(name));
    note(s, "fault %s %s", kind->name, name);
    after(s, &a->timer, for_ms < left_ms ? for_ms : left_ms);
    if (!kind->begin(a)) {
        ev_timer_stop(s->loop, &a->timer);
        note(s, "over %s %s", kind->name, name);
        a->kind = NULL;
    }
}

/* All hosts are lost at the same moment. */
static void begin_herd(soak_t* s) {
    for (uint32_t i = 0; i < s->proc_count; i++) {
        proc_t* p = &s->procs[i];
        if (p->kind == PROC_HOST && p->pid && !is_target(s, p)) {
            begin_fault(s, &fault_kinds[1], p);
        }
    }
}

#define HERD_ONE_IN 25

static void on_next(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    if (standin_now() + FAULT_MIN_MS > s->stirred_until_ms) {
        return;
    }
    uint32_t sum = 0;
    for (size_t i = 0; i < FAULT_KINDS; i++) {
        sum += fault_kinds[i].weight;
    }
    uint32_t at = (uint32_t)(draw(s) % sum);
    size_t kind = 0;
    while (at >= fault_kinds[kind].weight) {
        at -= fault_kinds[kind++].weight;
    }
    if (draw(s) % HERD_ONE_IN == 0) {
        begin_herd(s);
    } else {
        begin_fault(s, &fault_kinds[kind], pick_target(s, fault_kinds[kind].on));
    }
    after(s, &s->next, PAUSE_MIN_MS + (int64_t)(draw(s) % PAUSE_SPREAD_MS));
}

static void on_phase(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    if (!s->caller_proc) {
        start_callers(s);
        note(s, "over start -");
    }
    s->stirred_until_ms = standin_now() + STIRRED_MS;
    after(s, &s->next, PAUSE_MIN_MS);
    after(s, &s->phase, STIRRED_MS + CALM_MS);
}

static void on_finish(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    if (s->ending) { /* the callers have had time: hosts are told to stop */
        for (uint32_t i = 0; i < s->proc_count; i++) {
            proc_t* p = &s->procs[i];
            if (p->kind == PROC_HOST && p->pid) {
                char target[48];
                fault_target(p, target, sizeof(target));
                note(s, "fault stop %s", target);
                p->stopping = true;
                kill(p->pid, SIGTERM);
            }
        }
        return;
    }
    s->ending = true;
    ev_timer_stop(s->loop, &s->phase);
    ev_timer_stop(s->loop, &s->next);
    note(s, "finish");
    kill(s->caller_proc->pid, SIGTERM);
    after(s, &s->end, LAST_MS);
}

/* -- the whole ------------------------------------------------------------ */

static void start(soak_t* s) {
    note(s, "fault start -");
    proc_t* source = proc_new(s, PROC_SOURCE);
    cw_copy(source->name, sizeof(source->name), "source");
    s->source = source;
    launch(source, "fake-source", (const char* const[]){NULL});
    while (!source->told) {
        ev_run(s->loop, EVRUN_ONCE);
    }
    for (uint32_t i = 0; i < s->engines + s->services; i++) {
        start_upstream(s, i < s->engines);
    }
    for (uint32_t i = 0; i < s->hosts; i++) {
        proc_t* p = proc_new(s, PROC_HOST);
        snprintf(p->name, sizeof(p->name), "%s.%u", s->base, i + 1);
        restart_host(p);
    }
    ev_timer_init(&s->phase, on_phase, 0.0, 0.0);
    ev_timer_init(&s->next, on_next, 0.0, 0.0);
    ev_timer_init(&s->end, on_finish, 0.0, 0.0);
    s->phase.data = s->next.data = s->end.data = s;
    after(s, &s->phase, START_MS);
    after(s, &s->end, START_MS + (int64_t)s->seconds * 1000);
}

static void end_processes(soak_t* s) {
    for (uint32_t i = 0; i < s->proc_count; i++) {
        if (s->procs[i].pid) {
            kill(s->procs[i].pid, SIGKILL);
            waitpid(s->procs[i].pid, NULL, 0);
        }
    }
}

static void write_record(const soak_t* s) {
    char path[128];
    snprintf(path, sizeof(path), "%s/record", s->dir);
    FILE* file = fopen(path, "w");
    if (file) {
        fwrite(s->record.data, 1, s->record.size, file);
        fclose(file);
    }
}

static void remove_folder(const soak_t* s) {
    char path[128];
    static const char* const kinds[] = {"ini", "log"};
    for (uint32_t i = 0; i < s->hosts; i++) {
        for (int k = 0; k < 2; k++) {
            snprintf(path, sizeof(path), "%s/%s.%u.%s", s->dir, s->base, i + 1, kinds[k]);
            unlink(path);
        }
    }
    snprintf(path, sizeof(path), "%s/record", s->dir);
    unlink(path);
    rmdir(s->dir);
}

static bool report(const soak_t* s) {
    soak_result_t r = soak_judge(cw_buffer_text(&s->record), GRACE_MS, DRAIN_MS);
    bool failed = soak_failed(&r);
    printf("seed %" PRIu64
           ": %u sent, %u served, %u refused, %u failed, %u left; calm %u sent, %u served, %u refused\n",
           s->seed, r.sent, r.served, r.refused, r.failed, r.left, r.calm_sent, r.calm_served, r.calm_refused);
    for (int i = 0; i < SOAK_CHECKS; i++) {
        if (r.count[i]) {
            printf("  %s %s: %u (allowed %u), first: %s\n",
                   r.count[i] > soak_check_allowed((soak_check_t)i) ? "BROKEN" : "seen",
                   soak_check_name((soak_check_t)i), r.count[i], soak_check_allowed((soak_check_t)i), r.first[i]);
        }
    }
    printf("seed %" PRIu64 ": %s\n", s->seed, failed ? "FAILED" : "passed");
    return !failed;
}

static bool read_record(soak_t* s) {
    char data[65536];
    FILE* file = fopen(s->kept_record, "r");
    if (!file) {
        perror(s->kept_record);
        return false;
    }
    for (size_t size = 0; (size = fread(data, 1, sizeof(data), file)) > 0;) {
        cw_buffer_add(&s->record, data, size);
    }
    fclose(file);
    return true;
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    soak_t* s = state->input;
    const char* text = arg ? arg : "";
    uint32_t number = (uint32_t)strtoul(text, NULL, 10);
    switch (key) {
        case 'b':
            s->build = arg;
            return 0;
        case 's':
            s->seed = strtoull(text, NULL, 10);
            return 0;
        case 't':
            s->seconds = number;
            return 0;
        case 'h':
            s->hosts = number;
            return number > 1 && number < 70 ? 0 : EINVAL;
        case 'e':
            s->engines = number;
            return 0;
        case 'v':
            s->services = number;
            return 0;
        case 'n':
            s->callers = number;
            return 0;
        case 'r':
            s->per_s = strtod(text, NULL);
            return 0;
        case 'k':
            s->keep = true;
            return 0;
        case 'j':
            s->kept_record = arg;
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"build", 'b', "DIR", 0, "folder of the programs, default build", 0},
        {"seed", 's', "N", 0, "of the schedule and the callers, default 1", 0},
        {"seconds", 't', "N", 0, "of requests, default 54", 0},
        {"hosts", 'h', "N", 0, "gateways, default 5", 0},
        {"engines", 'e', "N", 0, "default 12", 0},
        {"services", 'v', "N", 0, "default 3", 0},
        {"callers", 'n', "N", 0, "default 60", 0},
        {"rate", 'r', "N", 0, "requests a second, default 120", 0},
        {"keep", 'k', NULL, 0, "keep the record and the logs", 0},
        {"judge", 'j', "RECORD", 0, "start nothing: judge a record that was kept", 0},
        {0},
    };
    const struct argp argp = {.options = options, .parser = parse_option, .doc = "A soak of real processes."};
    static soak_t soak = {.build = "build",
                          .seed = 1,
                          .seconds = 54,
                          .hosts = 5,
                          .engines = 12,
                          .services = 3,
                          .callers = 60,
                          .per_s = 120};
    soak_t* s = &soak;
    argp_parse(&argp, argc, argv, 0, NULL, s);
    if (s->kept_record) {
        return read_record(s) && report(s) ? 0 : 1;
    }
    signal(SIGPIPE, SIG_IGN);
    s->loop = ev_default_loop(0);
    s->client = cw_client_setup(s->loop, 16);
    snprintf(s->base, sizeof(s->base), "127.%d.%d", 1 + getpid() / 250 % 250, getpid() % 250);
    snprintf(s->dir, sizeof(s->dir), "/tmp/chalkway-soak-XXXXXX");
    if (!mkdtemp(s->dir)) {
        perror(s->dir);
        return 1;
    }
    start(s);
    ev_run(s->loop, 0);
    end_processes(s);
    write_record(s);
    bool passed = report(s);
    if (s->keep || !passed) {
        printf("record and logs: %s\n", s->dir);
    } else {
        remove_folder(s);
    }
    return passed ? 0 : 1;
}
