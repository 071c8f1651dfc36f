/*
    Deadly requests at size: many hosts' quarantines in one process, on a clock of the bench's own.

    Each body comes at every moment under a new id at any host, ends the server that begins it 60 ms later, and
   everything beside it breaks. Servers come back after 2 s as another life. Marks reach the other hosts after a delay,
   or are lost; they are told a second time after 150 ms, and two hosts tell all that counts each second. Ordinary
   requests run beside them for 300 ms and are sent again twice after a break.

    Printed for each fleet, number of bodies and loss: servers ended under a body, ms from its third end until every
   host holds it, ordinary requests that broke and that were held back, bytes of marks that a host hears a second, and
    processor time of a host a second.
*/
#include <stdio.h>
#include <string.h>

#include "../chalkway_load.h"
#include "../chalkway_quarantine.h"
#include "bench.h"

#define HOSTS_MAX 300
#define SERVERS_MAX 750
#define RUNS_MAX 20000
#define FLIGHT_MAX 400000
#define BODIES_MAX 1000
#define PLAYED_MS 12000LL
#define PER_S 3.0       /* of each body */
#define ORDINARY_S 20.0 /* ordinary requests a second for each server */
#define ORDINARY_MS 300
#define DEADLY_MS 60
#define BACK_MS 2000
#define AGAIN_MS 150
#define REPEAT_MS 1000
#define TRIES 3
#define MARK_BYTES 32

typedef struct run_t {
    bool used;
    uint64_t content;
    uint32_t host, server, tries;
    int64_t ends_ms;
} run_t;

typedef struct server_t {
    uint64_t life;
    int64_t down_until_ms;
} server_t;

/* A mark under way to one host. */
typedef struct flight_t {
    cw_mark_t mark;
    int64_t made_ms, due_ms;
    uint32_t host;
} flight_t;

typedef struct world_t {
    uint32_t hosts, servers, bodies;
    uint32_t delay_ms;
    double loss;
    uint64_t draws, lives, ordinary;
    cw_quarantine_t* quarantines[HOSTS_MAX];
    server_t server[SERVERS_MAX];
    run_t runs[RUNS_MAX];
    flight_t flights[FLIGHT_MAX];
    uint32_t flight_count;
    uint32_t ended[BODIES_MAX];
    int64_t third_ms[BODIES_MAX], known_ms[BODIES_MAX];
    uint64_t broken, held_back, told, lost_for_room;
    double cpu_s;
} world_t;

static double draw(world_t* w) {
    return (double)(cw_mix(7, ++w->draws) >> 11) / 9007199254740992.0;
}

static uint32_t draw_below(world_t* w, uint32_t n) {
    return (uint32_t)(draw(w) * n);
}

static cw_fingerprint_t request_of(uint64_t content) {
    return (cw_fingerprint_t){.workspace = content <= BODIES_MAX ? 1 : 2, .content = content};
}

static void tell(world_t* w, uint32_t from, const cw_mark_t* mark, int64_t now_ms, int64_t later_ms) {
    for (uint32_t h = 0; h < w->hosts; h++) {
        if (h == from || draw(w) < w->loss) {
            continue;
        }
        if (w->flight_count == FLIGHT_MAX) {
            w->lost_for_room++;
            continue;
        }
        w->flights[w->flight_count++] =
            (flight_t){.mark = *mark,
                       .made_ms = now_ms,
                       .due_ms = now_ms + later_ms + w->delay_ms / 2 + draw_below(w, w->delay_ms),
                       .host = h};
        w->told++;
    }
}

static bool take(world_t* w, uint32_t host, const cw_mark_t* mark, int64_t now_ms) {
    double begun_s = bench_cpu_s();
    bool news = cw_quarantine_take(w->quarantines[host], now_ms, mark);
    w->cpu_s += bench_cpu_s() - begun_s;
    return news;
}

static void make_mark(world_t* w, uint32_t host, const cw_mark_t* mark, int64_t now_ms) {
    if (take(w, host, mark, now_ms)) {
        tell(w, host, mark, now_ms, 0);
        tell(w, host, mark, now_ms, AGAIN_MS);
    }
}

static void deliver(world_t* w, int64_t now_ms) {
    uint32_t kept = 0;
    for (uint32_t i = 0; i < w->flight_count; i++) {
        flight_t* f = &w->flights[i];
        if (f->due_ms > now_ms) {
            w->flights[kept++] = *f;
            continue;
        }
        f->mark.age_ms += (uint32_t)(now_ms - f->made_ms);
        take(w, f->host, &f->mark, now_ms);
    }
    w->flight_count = kept;
}

static bool is_free(const world_t* w, uint32_t s, const cw_verdict_t* v, int64_t now_ms) {
    for (uint32_t i = 0; i < v->ruled_out; i++) {
        if (v->lives[i] == w->server[s].life) {
            return false;
        }
    }
    return now_ms >= w->server[s].down_until_ms;
}

/* By chance, or by the fingerprint where the verdict asks for it; SERVERS_MAX: none. */
static uint32_t choose(world_t* w, uint64_t content, const cw_verdict_t* v, int64_t now_ms) {
    uint32_t best = SERVERS_MAX;
    uint64_t best_score = 0;
    uint64_t salt = v->kind == CW_VERDICT_FREE ? cw_mix(11, ++w->draws) : content;
    for (uint32_t s = 0; s < w->servers; s++) {
        uint64_t score = cw_mix(salt, w->server[s].life);
        if (is_free(w, s, v, now_ms) && score > best_score) {
            best = s;
            best_score = score;
        }
    }
    return best;
}

static void send(world_t* w, uint32_t host, uint64_t content, uint32_t tries, int64_t now_ms) {
    cw_fingerprint_t request = request_of(content);
    cw_verdict_t v = cw_quarantine_ask(w->quarantines[host], now_ms, &request);
    bool deadly = content <= BODIES_MAX;
    if (v.kind == CW_VERDICT_HELD) {
        w->held_back += !deadly;
        return;
    }
    uint32_t s = v.kind == CW_VERDICT_WAIT ? SERVERS_MAX : choose(w, content, &v, now_ms);
    for (uint32_t i = 0; i < RUNS_MAX && s < SERVERS_MAX; i++) {
        if (!w->runs[i].used) {
            w->runs[i] = (run_t){.used = true,
                                 .content = content,
                                 .host = host,
                                 .server = s,
                                 .tries = tries,
                                 .ends_ms = now_ms + (deadly ? DEADLY_MS : ORDINARY_MS)};
            break;
        }
    }
    if (s < SERVERS_MAX && v.kind == CW_VERDICT_TRIAL) {
        make_mark(w, host, &(cw_mark_t){.kind = CW_MARK_TRIED, .request = request, .life = w->server[s].life}, now_ms);
    }
}

static void count_end(world_t* w, uint64_t content, int64_t now_ms) {
    uint32_t body = (uint32_t)content - 1;
    w->ended[body]++;
    w->third_ms[body] = w->ended[body] == 3 ? now_ms : w->third_ms[body];
}

static void end_server(world_t* w, uint32_t s, uint64_t by, int64_t now_ms) {
    uint64_t life = w->server[s].life;
    w->server[s] = (server_t){.life = ++w->lives, .down_until_ms = now_ms + BACK_MS};
    count_end(w, by, now_ms);
    for (uint32_t i = 0; i < RUNS_MAX; i++) {
        run_t run = w->runs[i];
        if (!run.used || run.server != s) {
            continue;
        }
        w->runs[i].used = false;
        w->broken += run.content > BODIES_MAX;
        make_mark(w, run.host, &(cw_mark_t){.kind = CW_MARK_ENDED, .request = request_of(run.content), .life = life},
                  now_ms);
    }
}

/* What broke is sent again a few ms later, when its marks are at its host. */
static void end_runs(world_t* w, int64_t now_ms) {
    for (uint32_t i = 0; i < RUNS_MAX; i++) {
        run_t run = w->runs[i];
        if (!run.used || run.ends_ms > now_ms) {
            continue;
        }
        if (run.content <= BODIES_MAX) {
            run_t beside[64];
            uint32_t count = 0;
            for (uint32_t k = 0; k < RUNS_MAX && count < 64; k++) {
                if (w->runs[k].used && w->runs[k].server == run.server) {
                    beside[count++] = w->runs[k];
                }
            }
            end_server(w, run.server, run.content, now_ms);
            for (uint32_t k = 0; k < count; k++) {
                if (beside[k].tries < TRIES) {
                    send(w, beside[k].host, beside[k].content, beside[k].tries + 1, now_ms);
                }
            }
            continue;
        }
        w->runs[i].used = false;
        cw_fingerprint_t request = request_of(run.content);
        if (cw_quarantine_knows(w->quarantines[run.host], &request)) {
            make_mark(w, run.host, &(cw_mark_t){.kind = CW_MARK_CLEARED, .request = request}, now_ms);
        }
    }
}

static void repeat_marks(world_t* w, int64_t now_ms) {
    for (uint32_t h = 0; h < 2 && now_ms % REPEAT_MS == 0; h++) {
        cw_mark_t marks[CW_LOAD_MARKS];
        uint32_t at = 0;
        uint32_t count = cw_quarantine_marks(w->quarantines[h], now_ms, &at, marks, CW_LOAD_MARKS);
        for (uint32_t i = 0; i < count; i++) {
            tell(w, h, &marks[i], now_ms, 0);
        }
    }
}

static void look_who_knows(world_t* w, int64_t now_ms) {
    for (uint32_t body = 0; body < w->bodies; body++) {
        bool all = w->third_ms[body] && !w->known_ms[body];
        cw_fingerprint_t request = request_of(body + 1);
        for (uint32_t h = 0; h < w->hosts && all; h++) {
            all = cw_quarantine_ask(w->quarantines[h], now_ms, &request).kind == CW_VERDICT_HELD;
        }
        w->known_ms[body] = all ? now_ms : w->known_ms[body];
    }
}

static void play(world_t* w) {
    for (int64_t now_ms = 1; now_ms <= PLAYED_MS; now_ms++) {
        deliver(w, now_ms);
        end_runs(w, now_ms);
        for (uint32_t body = 0; body < w->bodies && now_ms > 1000; body++) {
            if (draw(w) < PER_S / 1000) {
                send(w, draw_below(w, w->hosts), body + 1, 2, now_ms);
            }
        }
        double due = w->servers * ORDINARY_S / 1000;
        for (uint32_t i = 0; i < due; i++) {
            if (draw(w) < due - i) {
                send(w, draw_below(w, w->hosts), BODIES_MAX + ++w->ordinary, 1, now_ms);
            }
        }
        repeat_marks(w, now_ms);
        if (now_ms % 5 == 0) {
            look_who_knows(w, now_ms);
        }
    }
}

static void report(const world_t* w) {
    uint32_t ended = 0;
    uint32_t most = 0;
    int64_t longest_ms = 0;
    uint32_t unknown = 0;
    for (uint32_t body = 0; body < w->bodies; body++) {
        ended += w->ended[body];
        most = w->ended[body] > most ? w->ended[body] : most;
        int64_t took_ms = w->known_ms[body] - w->third_ms[body];
        unknown += w->third_ms[body] && !w->known_ms[body];
        longest_ms = w->known_ms[body] && took_ms > longest_ms ? took_ms : longest_ms;
    }
    printf("%5u %6u %5.0f %8.1f %5u %8lld %8u %9llu %8llu %6llu %10.0f %9.3f\n", w->hosts, w->bodies, w->loss * 100,
           (double)ended / w->bodies, most, (long long)longest_ms, unknown, (unsigned long long)w->ordinary,
           (unsigned long long)w->broken, (unsigned long long)w->held_back,
           (double)w->told * MARK_BYTES * 1000 / w->hosts / PLAYED_MS, w->cpu_s * 1000 * 1000 / w->hosts / PLAYED_MS);
    fflush(stdout);
}

static void bench_one(uint32_t hosts, uint32_t servers, uint32_t bodies, double loss) {
    world_t* w = cw_alloc(NULL, 1, sizeof(*w));
    w->hosts = hosts;
    w->servers = servers;
    w->bodies = bodies;
    w->loss = loss;
    w->delay_ms = hosts > 16 ? 30 : 2;
    for (uint32_t h = 0; h < hosts; h++) {
        w->quarantines[h] = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
    }
    for (uint32_t s = 0; s < servers; s++) {
        w->server[s].life = ++w->lives;
    }
    play(w);
    report(w);
    for (uint32_t h = 0; h < hosts; h++) {
        cw_quarantine_shutdown(w->quarantines[h]);
    }
    cw_free(NULL, w);
}

int main(void) {
    static const double losses[] = {0, 0.1, 0.3};
    printf("hosts bodies loss%% ended/body most until-ms unknown ordinary   broken   held bytes/host/s cpu-ms/s\n");
    bench_one(9, 18, 1000, 0);
    for (int i = 0; i < 3; i++) {
        bench_one(9, 18, 1, losses[i]);
        bench_one(9, 18, 10, losses[i]);
        bench_one(81, 140, 1, losses[i]);
        bench_one(81, 140, 10, losses[i]);
        bench_one(300, 750, 1, losses[i]);
        bench_one(300, 750, 10, losses[i]);
    }
    return 0;
}
