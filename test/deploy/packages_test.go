// Package deploy holds tests of how the product is built where it is deployed.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// root is that of the source tree.
const root = "../.."

// deploySetting returns the value of one line of the deploy file.
func deploySetting(name string) string {
	file, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	So(err, ShouldBeNil)
	found := regexp.MustCompile(`(?m)^` + name + ` = (.*)$`).FindSubmatch(file)
	So(found, ShouldNotBeNil)
	return string(found[1])
}

// goDirectory returns the directory of the Go command of this toolchain.
func goDirectory() string {
	output, err := exec.Command("go", "env", "GOROOT").Output()
	So(err, ShouldBeNil)
	return filepath.Join(strings.TrimSpace(string(output)), "bin")
}

var dependencySeparator = regexp.MustCompile(`[,|]`)

// withDependencies returns packages with all that they depend on, as far as it
// is installed.
func withDependencies(packages []string) map[string]bool {
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
		for _, dependency := range dependencySeparator.Split(string(depends), -1) {
			if fields := strings.Fields(dependency); len(fields) > 0 {
				packages = append(packages, strings.SplitN(fields[0], ":", 2)[0])
			}
		}
	}
	return all
}

// linkPrograms links the programs of packages, and nothing else, into a
// directory.
func linkPrograms(packages map[string]bool, directory string) {
	for name := range packages {
		files, err := exec.Command("dpkg-query", "-L", name).Output()
		if err != nil {
			continue
		}
		for _, path := range strings.Fields(string(files)) {
			program := strings.HasPrefix(path, "/usr/bin/") || strings.HasPrefix(path, "/bin/")
			if info, err := os.Stat(path); !program || err != nil || info.IsDir() {
				continue
			}
			_ = os.Symlink(path, filepath.Join(directory, filepath.Base(path)))
		}
	}
}

// buildWith runs the deploy file's build command with an empty build cache, and
// with no other programs than Go's and those of packages.
func buildWith(t *testing.T, packages []string) error {
	programs, target, cache := t.TempDir(), t.TempDir(), t.TempDir()
	linkPrograms(withDependencies(packages), programs)
	command := strings.ReplaceAll(strings.Trim(deploySetting("build"), `"`), "target/", target+"/")
	build := exec.Command("/bin/sh", "-c", command)
	build.Dir = root
	build.Env = []string{
		"PATH=" + goDirectory() + ":" + programs, "HOME=" + os.Getenv("HOME"),
		"GOCACHE=" + cache, "GOFLAGS=-buildvcs=false",
	}
	for _, name := range []string{"GOPROXY", "GOMODCACHE", "GOPATH", "GONOSUMDB", "GONOSUMCHECK", "GOSUMDB"} {
		if value, given := os.LookupEnv(name); given {
			build.Env = append(build.Env, name+"="+value)
		}
	}
	output, err := build.CombinedOutput()
	if err != nil {
		t.Log(string(output))
		return err
	}
	for _, name := range []string{"tansyseam-proxy", "tansyseam-control"} {
		_, err := os.Stat(filepath.Join(target, name))
		So(err, ShouldBeNil)
	}
	return nil
}

func TestBuildNeedsTheListedPackagesOnly(t *testing.T) {
	Convey("The build succeeds from nothing built, with Go and the programs of the listed packages alone; without them it does not", t, func() {
		packages := regexp.MustCompile(`[a-z0-9.+-]+`).FindAllString(deploySetting("packages"), -1)
		So(packages, ShouldContain, "gcc")
		So(packages, ShouldContain, "libc6-dev")
		So(buildWith(t, packages), ShouldBeNil)
		So(buildWith(t, nil), ShouldNotBeNil)
	})
}
