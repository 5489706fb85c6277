// Package deploy holds tests of how the product is built where it is deployed.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const root = "../.."

// setting gives the text of one line of the deploy file.
func setting(name string) string {
	file, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	So(err, ShouldBeNil)
	found := regexp.MustCompile(`(?m)^` + name + ` = (.*)$`).FindSubmatch(file)
	So(found, ShouldNotBeNil)
	return string(found[1])
}

// closure gives packages with all that they depend on, as far as it is installed.
func closure(packages []string) map[string]bool {
	all := map[string]bool{}
	for len(packages) > 0 {
		name := packages[0]
		packages = packages[1:]
		if all[name] {
			continue
		}
		depends, err := exec.Command("dpkg-query", "-W", "-f", "${Pre-Depends},${Depends}", name).Output()
		if err != nil {
			continue
		}
		all[name] = true
		for _, word := range regexp.MustCompile(`[,|]`).Split(string(depends), -1) {
			if fields := strings.Fields(word); len(fields) > 0 {
				packages = append(packages, strings.SplitN(fields[0], ":", 2)[0])
			}
		}
	}
	return all
}

// link puts the programs of packages, and nothing else, into a folder.
func link(packages map[string]bool, folder string) {
	for name := range packages {
		files, err := exec.Command("dpkg-query", "-L", name).Output()
		if err != nil {
			continue
		}
		for _, path := range strings.Fields(string(files)) {
			isProgram := strings.HasPrefix(path, "/usr/bin/") || strings.HasPrefix(path, "/bin/")
			if info, err := os.Stat(path); !isProgram || err != nil || info.IsDir() {
				continue
			}
			_ = os.Symlink(path, filepath.Join(folder, filepath.Base(path)))
		}
	}
}

func TestBuildNeedsTheListedPackagesOnly(t *testing.T) {
	Convey("The build succeeds from nothing built, with Go and the programs of the listed packages alone; without them it does not", t, func() {
		packages := regexp.MustCompile(`[a-z0-9.+-]+`).FindAllString(setting("packages"), -1)
		So(packages, ShouldContain, "gcc")
		So(packages, ShouldContain, "libc6-dev")
		build := func(packages []string) error {
			programs, made, cache := t.TempDir(), t.TempDir(), t.TempDir()
			link(closure(packages), programs)
			command := strings.ReplaceAll(strings.Trim(setting("build"), `"`), "target/", made+"/")
			run := exec.Command("/bin/sh", "-c", command)
			run.Dir = root
			run.Env = []string{
				"PATH=" + filepath.Join(runtime.GOROOT(), "bin") + ":" + programs, "HOME=" + os.Getenv("HOME"),
				"GOCACHE=" + cache, "GOFLAGS=-buildvcs=false",
			}
			for _, name := range []string{"GOPROXY", "GOMODCACHE", "GOPATH", "GONOSUMDB", "GONOSUMCHECK", "GOSUMDB"} {
				if value, isGiven := os.LookupEnv(name); isGiven {
					run.Env = append(run.Env, name+"="+value)
				}
			}
			said, err := run.CombinedOutput()
			if err == nil {
				for _, name := range []string{"tansyseam-proxy", "tansyseam-control"} {
					_, err := os.Stat(filepath.Join(made, name))
					So(err, ShouldBeNil)
				}
				return nil
			}
			t.Log(string(said))
			return err
		}
		So(build(packages), ShouldBeNil)
		So(build(nil), ShouldNotBeNil)
	})
}
